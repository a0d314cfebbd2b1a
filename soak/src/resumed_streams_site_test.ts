import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { PlannedFault } from "./soak_plan.ts";
import type { SoakSite } from "./soak_site.ts";
import { startSoakSite } from "./soak_site.ts";
import type { ObservedStream, StreamCallOptions } from "./stream_callers.ts";
import {
  callStream,
  countTries,
  listStreamViolations,
} from "./stream_callers.ts";

const ENTRIES = 3;
/** Time in which entries discover each other and an endpoint's version settles. */
const DISCOVERY_MS = 4_500;
const STREAMS = 24;
const STREAM_GAP_MS = 60;
const BREAK_AFTER = 3;
/** Time in which all streams begin. */
const BEGIN_MS = 3_000;
/** Time after which entries know that endpoints leave or have changed. */
const RELEASED_MS = 1_500;
/** Entries must have watched the versions of a pool for this long. */
const WATCHED_MS = 11_500;
/** Twice the timeout of a route and more; callers may wait for longer. */
const FORGOTTEN_MS = 7_000;
/** Time after which the store's log holds a stream that began. */
const LOGGED_MS = 500;
/** Time after which a restarted entry serves. */
const RESTART_MS = 1_500;
/** A stream that cannot go on is refused within this time. */
const REFUSAL_MS = 700;
/** Share of tries that succeeds where nothing else is wrong. */
const MIN_SERVED_SHARE = 0.9;

interface Scenario {
  name: string;
  versions?: readonly string[];
  /** Runs between the first try of the streams and the next. */
  disturb?: (site: SoakSite) => Promise<void>;
  chooseName?: StreamCallOptions["chooseName"];
  /** Tries after the first one, each at the next entry. */
  resumes?: number;
  /** Time before the first stream. */
  discoveryMs?: number;
}

/**
 * Lets streams wait until all have begun and a disturbance has taken effect. The
 * first entry would not begin those that it gets later.
 */
function createGate(disturb: () => Promise<void>): () => Promise<void> {
  let disturbed: Promise<void> | undefined;
  let waiting = 0;
  let notifyAllBegun = () => {};
  const allBegun = new Promise<void>((resolve) => notifyAllBegun = resolve);
  return async () => {
    waiting++;
    if (waiting === STREAMS) notifyAllBegun();
    await Promise.race([allBegun, sleep(BEGIN_MS)]);
    await (disturbed ??= disturb());
  };
}

async function runScenario(
  { versions, disturb, chooseName, resumes = 1, discoveryMs = DISCOVERY_MS }:
    Scenario,
): Promise<ObservedStream[]> {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-streams-"));
  const site = await startSoakSite({
    entryCount: ENTRIES,
    folder,
    ...(versions === undefined ? {} : { chatVersions: versions }),
  });
  await sleep(discoveryMs);
  const beforeResume = disturb && createGate(() => disturb(site));
  const streams: Promise<ObservedStream>[] = [];
  for (let count = 0; count < STREAMS; count++) {
    // A disturbance hits the first entry; the streams go on at the others.
    const first = disturb === undefined ? count : 0;
    const entries = Array.from({ length: 1 + resumes }, (_, index) => {
      const step = index * (1 + count % (ENTRIES - 1));
      return site.callerAddresses[(first + step) % ENTRIES]!;
    });
    streams.push(callStream({
      id: `s${count}`,
      entries,
      breakAfter: BREAK_AFTER,
      ...(chooseName === undefined ? {} : { chooseName }),
      ...(beforeResume === undefined ? {} : { beforeResume }),
    }));
    await sleep(STREAM_GAP_MS);
  }
  const ended = await Promise.all(streams);
  await site.stop();
  return ended;
}

function describeShare(sent: number, served: number): string {
  return served >= MIN_SERVED_SHARE * sent
    ? "served"
    : served === 0
    ? "none served"
    : "some served";
}

function describeStreams(streams: readonly ObservedStream[]) {
  const { begun, resumed } = countTries(streams);
  const slow = streams.flatMap(({ tries }) => tries)
    .filter(({ status, sentAt, endedAt }) =>
      status !== 200 && endedAt - sentAt > REFUSAL_MS
    );
  return {
    violations: listStreamViolations(streams),
    begun: describeShare(begun.sent, begun.served),
    resumed: describeShare(resumed.sent, resumed.served),
    slowRefusals: slow.length,
  };
}

async function describeScenarios(scenarios: readonly Scenario[]) {
  const found: Record<string, ReturnType<typeof describeStreams>> = {};
  await Promise.all(scenarios.map(async (scenario) => {
    found[scenario.name] = describeStreams(await runScenario(scenario));
  }));
  return found;
}

function createEntryFault(kind: PlannedFault["kind"], target: number) {
  return { kind, at: 0, duration: 3_000, target } satisfies PlannedFault;
}

/** Applies a fault to all entries at once; resolves once all serve again. */
async function applyToAll(site: SoakSite, kind: PlannedFault["kind"]) {
  await Promise.all(
    site.callerAddresses.map((_, target) =>
      site.applyFault({ ...createEntryFault(kind, target), duration: 100 })
    ),
  );
  await Promise.all([sleep(RESTART_MS), site.waitUntilAllReady()]);
}

const GOES_ON = {
  violations: [],
  begun: "served",
  resumed: "served",
  slowRefusals: 0,
};
const PARTLY_REFUSED = { ...GOES_ON, resumed: "some served" };
const REFUSED = { ...GOES_ON, resumed: "none served" };

/** The entry that begins the streams is gone when they are resumed. */
const FIRST_ENTRY_GONE: readonly Scenario[] = [
  {
    name: "killed",
    disturb: async (site) => {
      void site.applyFault(createEntryFault("entry_killed", 0));
      await sleep(100);
    },
  },
  {
    name: "frozen",
    disturb: async (site) => {
      void site.applyFault(createEntryFault("entry_paused", 0));
      await sleep(100);
    },
  },
];

/** What one entry knows is lost, or can't be read, when streams go on. */
const KNOWLEDGE_LOST: readonly Scenario[] = [
  {
    name: "all entries restarted",
    disturb: async (site) => {
      await sleep(LOGGED_MS);
      await applyToAll(site, "entry_killed");
    },
  },
  {
    name: "the store does not reply",
    disturb: async (site) => {
      void site.applyFault(createEntryFault("store_silent", 0));
      await sleep(100);
    },
  },
  {
    name: "the other entries have just started",
    disturb: async (site) => {
      await Promise.all([1, 2].map((target) =>
        site.applyFault({
          ...createEntryFault("entry_killed", target),
          duration: 100,
        })
      ));
      await Promise.all([sleep(RESTART_MS), site.waitUntilAllReady()]);
    },
  },
  {
    name: "the entries reach no endpoint but through the first one",
    disturb: async (site) => {
      void site.applyCut({ mode: "reset", first: 1, count: 2 }, 3_000);
      await sleep(100);
    },
  },
  {
    name: "the entries reach no other entry",
    disturb: async (site) => {
      void site.applyCut(
        { mode: "reset", first: 0, count: ENTRIES, from: "peers" },
        3_000,
      );
      await sleep(500);
    },
  },
  {
    name: "one of two endpoints of a version leaves",
    disturb: async (site) => {
      void site.chatEndpoints[0]!.release("v2");
      await sleep(1_000);
    },
  },
  {
    name: "one of two endpoints of a version crashes",
    disturb: async (site) => {
      const slot = site.chatEndpoints[3]!;
      // A host refuses connections to the port of a process that has ended.
      slot.proxy.refuseConnections(true);
      void slot.replace(3_000)
        .then(() => slot.proxy.refuseConnections(false));
      await sleep(1_000);
    },
  },
];

describe("resumed streams, over real connections", () => {
  // Callers would get a stream whose parts do not fit together.
  it("hold events of one version while two versions serve", async () => {
    const scenarios: readonly Scenario[] = [
      { name: "one resume" },
      { name: "three resumes, each naming the first try", resumes: 3 },
      {
        name: "three versions",
        versions: ["v1", "v1", "v2", "v2", "v3", "v3"],
      },
      ...FIRST_ENTRY_GONE,
    ];
    expect(await describeScenarios(scenarios)).to.deep.equal(
      Object.fromEntries(scenarios.map(({ name }) => [name, GOES_ON])),
    );
  }).timeout(60_000);

  // The memory of an entry does not outlive it, and it may lose its sources.
  it("go on where entries have restarted or are cut off", async () => {
    expect(await describeScenarios(KNOWLEDGE_LOST)).to.deep.equal(
      Object.fromEntries(KNOWLEDGE_LOST.map(({ name }) => [name, GOES_ON])),
    );
  }).timeout(60_000);

  // A version may be gone, or not be what it was.
  it("are refused at once if their version has gone", async () => {
    const leaveAll =
      (first: number, version: string) => async (site: SoakSite) => {
        const [one, other] = site.chatEndpoints.slice(first, first + 2);
        void Promise.all([one!.release(version), other!.release(version)]);
        await sleep(RELEASED_MS);
      };
    const scenarios: readonly Scenario[] = [
      { name: "an upgrade", disturb: leaveAll(0, "v2") },
      { name: "a downgrade", disturb: leaveAll(2, "v1") },
      {
        name: "two versions of three",
        versions: ["v1", "v1", "v2", "v2", "v3", "v3"],
        disturb: async (site) => {
          void leaveAll(0, "v2")(site);
          await leaveAll(2, "v3")(site);
        },
      },
      {
        name: "one version changes under its ids",
        disturb: async (site) => {
          await Promise.all(
            site.chatEndpoints.slice(0, 2).map((slot) => slot.upgrade("v2")),
          );
          await sleep(RELEASED_MS);
        },
      },
      {
        name: "records lose their versions",
        disturb: async (site) => {
          site.chatEndpoints.slice(0, 2).forEach((slot) => slot.hideVersion());
          await sleep(RELEASED_MS);
        },
      },
    ];
    expect(await describeScenarios(scenarios)).to.deep.equal(
      Object.fromEntries(scenarios.map(({ name }) => [name, PARTLY_REFUSED])),
    );
  }).timeout(60_000);

  // No entry is left that knows when the version changed.
  it("are refused after a restart of all entries if their version has gone", async () => {
    const scenario: Scenario = {
      name: "the only version replaced, then all entries restarted",
      versions: ["v1", "v1"],
      disturb: async (site) => {
        await Promise.all(site.chatEndpoints.map((slot) => slot.release("v2")));
        await applyToAll(site, "entry_killed");
        await sleep(FORGOTTEN_MS);
      },
    };
    const { slowRefusals: _, ...described } = describeStreams(
      await runScenario(scenario),
    );
    const { slowRefusals: __, ...refused } = REFUSED;
    expect(described).to.deep.equal(refused);
  }).timeout(60_000);

  // Entries that have just started may take the newest version for the only one.
  it("hold events of one version after several restarts of all entries", async () => {
    const releaseFirst = (site: SoakSite) =>
      Promise.all(
        site.chatEndpoints.slice(0, 2).map((slot) => slot.release("v2")),
      );
    const restartTwice = async (site: SoakSite) => {
      await applyToAll(site, "entry_killed");
      await applyToAll(site, "entry_killed");
    };
    const scenarios: readonly Scenario[] = [
      {
        name: "one of two versions goes, two restarts",
        disturb: async (site) => {
          await releaseFirst(site);
          await restartTwice(site);
          await sleep(FORGOTTEN_MS);
        },
      },
      {
        name: "a second version comes during two restarts",
        versions: ["v1", "v1", "v1"],
        disturb: async (site) => {
          await Promise.all([releaseFirst(site), restartTwice(site)]);
          await sleep(FORGOTTEN_MS);
        },
      },
      {
        name: "the only version replaced, no names",
        versions: ["v1", "v1"],
        chooseName: () => undefined,
        disturb: async (site) => {
          await releaseFirst(site);
          await restartTwice(site);
          await sleep(FORGOTTEN_MS);
        },
      },
    ];
    const described = await describeScenarios(scenarios);
    expect(Object.values(described).map(({ violations }) => violations))
      .to.deep.equal(scenarios.map(() => []));
  }).timeout(60_000);

  // No entry is left that knows which version began them.
  it("go on after a restart of all entries where one version serves", async () => {
    const scenario: Scenario = {
      name: "one version, all entries restarted",
      versions: ["v1", "v1", "v1"],
      disturb: (site) => applyToAll(site, "entry_killed"),
    };
    expect(describeStreams(await runScenario(scenario)))
      .to.deep.equal(GOES_ON);
  }).timeout(60_000);

  it("go on without a name where a single version has served", async () => {
    const scenario: Scenario = {
      name: "one version",
      versions: ["v1", "v1", "v1"],
      chooseName: () => undefined,
      discoveryMs: WATCHED_MS,
    };
    expect(describeStreams(await runScenario(scenario)))
      .to.deep.equal(GOES_ON);
  }).timeout(60_000);

  // What began where is not known, so that a wrong version might be chosen.
  it("are refused at once if nothing tells their version", async () => {
    const scenarios: readonly Scenario[] = [
      { name: "no name", chooseName: () => undefined },
      { name: "an unknown name", chooseName: () => "unknown" },
    ];
    expect(await describeScenarios(scenarios)).to.deep.equal(
      Object.fromEntries(scenarios.map(({ name }) => [name, REFUSED])),
    );
  }).timeout(60_000);
});
