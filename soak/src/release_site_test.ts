import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CutMode } from "./endpoint_cuts.ts";
import type { SoakSite } from "./soak_site.ts";
import { startSoakSite } from "./soak_site.ts";
import type { ObservedStream } from "./stream_callers.ts";
import { callStream, listStreamViolations } from "./stream_callers.ts";

const TEST_TIMEOUT_MS = 120_000;
const ENTRIES = 3;
const OLD_VERSIONS = ["v1", "v1", "v1", "v1"];
/** Time in which the entries discover each other and record the version. */
const DISCOVERY_MS = 5_000;
const STREAM_GAP_MS = 30;
const BREAK_AFTER = 3;
/** Streams begin from the release until the entry is in step again. */
const STREAMS_MS = 4_500;
/** The entry that is out of step; streams begin at the others. */
const OUT_OF_STEP = 0;

type Disturbance =
  | { kind: "cut"; from: readonly ("peers" | "store")[]; mode: CutMode }
  | { kind: "frozen"; duration: number };

interface Release {
  /** New endpoints that join. */
  joining: number;
  /** Old ones that begin to leave at the same time. */
  leaving: number;
}

interface Scenario {
  disturbance: Disturbance;
  release: Release;
  /** Whether callers name the try that began a stream. */
  isNamed: boolean;
  /** Whether an entry at which streams begin is killed and starts again. */
  isFirstKilled?: boolean;
}

interface ObservedRelease {
  name: string;
  streams: readonly ObservedStream[];
}

function describeScenario(
  { disturbance, release, isNamed, isFirstKilled }: Scenario,
): string {
  const what = disturbance.kind === "cut"
    ? `cut from ${disturbance.from.join(" and ")} (${disturbance.mode})`
    : `frozen for ${disturbance.duration} ms`;
  return `${what}, ${release.joining} join, ` +
    `${release.leaving} leave, ${isNamed ? "named" : "unnamed"}` +
    (isFirstKilled ? ", first killed" : "");
}

function applyDisturbance(
  site: SoakSite,
  disturbance: Disturbance,
): void {
  if (disturbance.kind === "cut") {
    return site.applyIsolation({ target: OUT_OF_STEP, ...disturbance });
  }
  const { duration } = disturbance;
  void site.applyFault({
    kind: "entry_paused",
    at: 0,
    duration,
    target: OUT_OF_STEP,
  });
}

async function runRelease(scenario: Scenario): Promise<ObservedRelease> {
  const { disturbance, release, isNamed, isFirstKilled } = scenario;
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-release-"));
  const site = await startSoakSite({
    entryCount: ENTRIES,
    folder,
    chatVersions: OLD_VERSIONS,
  });
  await sleep(DISCOVERY_MS);
  applyDisturbance(site, disturbance);
  const old = site.chatEndpoints.slice(0, release.leaving);
  void Promise.all(old.map((slot) => slot.release("v2")));
  await site.addChatEndpoints(
    Array.from({ length: release.joining }, () => "v2"),
  );
  // The new endpoints are reachable.
  if (disturbance.kind === "cut") applyDisturbance(site, disturbance);
  if (isFirstKilled) {
    void site.applyFault({
      kind: "entry_killed",
      at: 0,
      duration: 50,
      target: 1,
    });
  }
  const streams: Promise<ObservedStream>[] = [];
  const until = Date.now() + STREAMS_MS;
  for (let count = 0; Date.now() < until; count++) {
    const first = site.callerAddresses[1 + count % (ENTRIES - 1)]!;
    streams.push(callStream({
      id: `s${count}`,
      entries: [first, site.callerAddresses[OUT_OF_STEP]!],
      breakAfter: BREAK_AFTER,
      ...(isNamed ? {} : { chooseName: () => undefined }),
    }));
    await sleep(STREAM_GAP_MS);
  }
  const ended = await Promise.all(streams);
  await site.stop();
  return { name: describeScenario(scenario), streams: ended };
}

function listMixed({ name, streams }: ObservedRelease): string[] {
  return listStreamViolations(streams).map((violation) =>
    `${name}: ${violation}`
  );
}

const OUT_OF_STEP_WAYS: readonly Disturbance[] = [
  { kind: "cut", from: ["peers", "store"], mode: "reset" },
  { kind: "cut", from: ["peers", "store"], mode: "hang" },
  { kind: "cut", from: ["peers"], mode: "reset" },
  { kind: "cut", from: ["store"], mode: "reset" },
  { kind: "frozen", duration: 2_000 },
  { kind: "frozen", duration: 4_000 },
  { kind: "frozen", duration: 6_000 },
];

describe("streams resumed at an entry that is out of step in a release", function () {
  this.timeout(TEST_TIMEOUT_MS);

  async function listAllMixed(
    scenario: Pick<Scenario, "release" | "isNamed" | "isFirstKilled">,
  ): Promise<string[]> {
    const observed = await Promise.all(
      OUT_OF_STEP_WAYS.map((disturbance) =>
        runRelease({ ...scenario, disturbance })
      ),
    );
    return observed.flatMap(listMixed);
  }

  // Each test guards against streams whose parts do not fit together.

  it("hold events of one version when one endpoint joins", async () => {
    const release = { joining: 1, leaving: 0 };
    expect(await listAllMixed({ release, isNamed: false })).to.deep.equal([]);
  });

  it("hold events of one version when some endpoints are replaced", async () => {
    const release = { joining: 4, leaving: 2 };
    expect(await listAllMixed({ release, isNamed: true })).to.deep.equal([]);
  });

  it("hold events of one version when an entry that began them restarts", async () => {
    const release = { joining: 4, leaving: 2 };
    expect(await listAllMixed({ release, isNamed: true, isFirstKilled: true }))
      .to.deep.equal([]);
  });

  it("hold events of one version when all endpoints are replaced", async () => {
    const release = { joining: 4, leaving: 4 };
    expect(await listAllMixed({ release, isNamed: true })).to.deep.equal([]);
  });

  it("hold events of one version without names when all are replaced", async () => {
    const release = { joining: 4, leaving: 4 };
    expect(await listAllMixed({ release, isNamed: false })).to.deep.equal([]);
  });
});
