import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { SentRequest } from "./endpoint_signals.ts";
import { listRepeats, listRepeatViolations } from "./repeat_checks.ts";
import type { CallResult } from "./soak_callers.ts";
import { CALL_DEADLINE_MS, createSoakCaller } from "./soak_callers.ts";
import type { SoakSite } from "./soak_site.ts";
import { startSoakSite } from "./soak_site.ts";
import type { FaultKind } from "./soak_plan.ts";

const ENTRIES = 8;
const LENGTH_MS = 24_000;
const REQUEST_GAP_MS = 20;
const BURST_GAP_MS = 6;
const BURST = { from: 9_000, until: 14_000 };
const FAILING_MS = 400;
/** Targets by which half to all plain endpoints fail: they answer 500, refuse, reset, and send without end. */
const FAILURE_TARGETS = [0, 1, 2, 3];
/** One after another, each until this time. */
const DISTURBANCES: readonly { kind: FaultKind; until: number }[] = [
  { kind: "entry_killed", until: 8_000 },
  { kind: "entry_stopped", until: 14_000 },
  { kind: "entry_paused", until: 18_000 },
];
const DISTURBED_MS = 300;
const DISTURBANCE_GAP_MS = 700;
/** Below it, the site would not be pressed for repeats. */
const MIN_REPEATS = 60;

async function failEndpoints(site: SoakSite, endAt: number): Promise<void> {
  for (let count = 0; Date.now() < endAt; count++) {
    const target = FAILURE_TARGETS[count % FAILURE_TARGETS.length]!;
    await site.applyFault({
      kind: "pool_failing",
      at: 0,
      duration: FAILING_MS,
      target,
    });
  }
}

/** Kills, stops and freezes entries in series, then cuts them from each other. */
async function disturbEntries(site: SoakSite, startAt: number): Promise<void> {
  const running: Promise<void>[] = [];
  let target = 0;
  for (const { kind, until } of DISTURBANCES) {
    while (Date.now() < startAt + until) {
      const duration = DISTURBED_MS;
      running.push(site.applyFault({ kind, at: 0, duration, target }));
      target++;
      await sleep(DISTURBANCE_GAP_MS);
    }
  }
  await site.applyCut(
    { mode: "refuse", first: 0, count: ENTRIES, from: "peers" },
    startAt + LENGTH_MS - Date.now(),
  );
  await Promise.all(running);
}

async function sendRequests(
  startAt: number,
  send: (id: string) => void,
): Promise<void> {
  for (let count = 0;; count++) {
    const elapsed = Date.now() - startAt;
    if (elapsed >= LENGTH_MS) return;
    send(`repeated-${count}`);
    const isBurst = elapsed >= BURST.from && elapsed < BURST.until;
    await sleep(isBurst ? BURST_GAP_MS : REQUEST_GAP_MS);
  }
}

describe("entries that are disturbed while all endpoints fail", () => {
  // Guards against repeats beyond what all entries together may make, which
  // entries that start anew or know no others would make in addition.
  it("keep to the budget of repeats", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-repeats-"));
    const site = await startSoakSite({ entryCount: ENTRIES, folder });
    const results: CallResult[] = [];
    const caller = createSoakCaller({
      addresses: site.callerAddresses,
      onResult: (result) => results.push(result),
    });
    const startAt = Date.now();
    await Promise.all([
      sendRequests(startAt, (id) => void caller.call(id, "plain", "key-1")),
      failEndpoints(site, startAt + LENGTH_MS),
      disturbEntries(site, startAt),
    ]);
    await sleep(CALL_DEADLINE_MS);
    const requests = new Map<string, SentRequest>(
      results.map(({ id, entry, sentAt }) => [
        id,
        { entry, sentAt, pool: "plain", budget: CALL_DEADLINE_MS },
      ]),
    );
    const violations = listRepeatViolations(site.arrivals, site.runs, {
      requests,
      entryFaults: site.entryFaults,
      storeFaults: site.storeFaults,
      endpointEnds: site.endpointEnds,
    });
    const repeats = listRepeats(
      site.arrivals.map(({ requestId, at }) => ({ name: requestId, at })),
    );
    await caller.close();
    await site.stop();
    expect(violations).to.deep.equal([]);
    expect(repeats.length).to.be.at.least(MIN_REPEATS);
  }).timeout(60_000);
});
