import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { listIgnoredSignals } from "./endpoint_signals.ts";
import type { CallResult } from "./soak_callers.ts";
import { createSoakCaller } from "./soak_callers.ts";
import type { FaultKind } from "./soak_plan.ts";
import { startSoakSite } from "./soak_site.ts";

const ENTRIES = 3;
/** Index among the endpoints that send signals: three plain ones, then the engine. */
const FIRST_PLAIN_ENDPOINT = 0;
const DURATION_MS = 3_000;
/** Long enough for all signals to take effect. */
const OBSERVATION_MS = 9_000;
const GAP_MS = 12;

/** Requests for more than twice the room of brittle endpoints. */
const BURST_GAP_MS = 6;
const PLAIN_ENDPOINTS = [0, 1, 2];

/** Runs real entries with signalling endpoints and no other fault. */
async function collectIgnoredSignals(
  kind: FaultKind,
  { targets = [FIRST_PLAIN_ENDPOINT], gap = GAP_MS } = {},
) {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-signals-"));
  const site = await startSoakSite({ entryCount: ENTRIES, folder });
  const results: CallResult[] = [];
  const caller = createSoakCaller({
    addresses: site.callerAddresses,
    onResult: (result) => results.push(result),
  });
  for (const target of targets) {
    void site.applyFault({ kind, at: 0, duration: DURATION_MS, target });
  }
  const pending: Promise<unknown>[] = [];
  const startedAt = Date.now();
  for (let count = 0; Date.now() - startedAt < OBSERVATION_MS; count++) {
    pending.push(caller.call(`${kind}-${count}`, "plain", "key-1"));
    await sleep(gap);
  }
  await Promise.all(pending);
  const requests = new Map(
    results.map(({ id, entry, sentAt }) => [id, { entry, sentAt }]),
  );
  const { arrivals, entryFaults } = site;
  const ignored = listIgnoredSignals(arrivals, { requests, entryFaults });
  await caller.close();
  await site.stop();
  const served = results.filter(({ status }) => status === 200).length;
  return { ignored, share: served / results.length };
}

describe("entries with a signalling or silent endpoint, over real connections", () => {
  const KINDS: readonly FaultKind[] = [
    "endpoint_limited",
    "endpoint_paused",
    "endpoint_says_leaving",
    "endpoint_brittle",
    "endpoint_silent",
  ];
  for (const kind of KINDS) {
    // Its pool has two other endpoints, so nearly all requests must succeed.
    it(`respect its signals: ${kind}`, async () => {
      const { ignored, share } = await collectIgnoredSignals(kind);
      expect(ignored).to.deep.equal([]);
      expect(share).to.be.at.least(0.98);
    }).timeout(30_000);
  }

  // All of the pool have little room, and each entry would have some of its
  // requests rejected at each of them.
  it("make no brittle endpoint of a pool fall over in a burst", async () => {
    const { ignored } = await collectIgnoredSignals("endpoint_brittle", {
      targets: PLAIN_ENDPOINTS,
      gap: BURST_GAP_MS,
    });
    expect(ignored).to.deep.equal([]);
  }).timeout(30_000);
});
