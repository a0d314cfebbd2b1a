import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CallResult } from "./soak_callers.ts";
import { createSoakCaller } from "./soak_callers.ts";
import { startSoakSite } from "./soak_site.ts";

const ENTRIES = 8;
const PLAIN_ENDPOINTS = [0, 1, 2];
/** Peers know by then that an entry reaches no endpoint. */
const CUT_SETTLE_MS = 1_500;
const CUT_MS = 6_000;
const PAUSED_MS = 1_400;
const GAP_MS = 150;
/** What an endpoint may get between this and the end of its pause. */
const REACTION_MS = 500;
const ALLOWED_IN_PAUSE = 2;

describe("entries that reach endpoints through one of them", () => {
  // Guards against a relay that goes on connecting to an endpoint which has
  // asked for a pause in an answer to another entry.
  it("keep to a pause that an endpoint asked the relay for", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-relay-"));
    const site = await startSoakSite({ entryCount: ENTRIES, folder });
    const results: CallResult[] = [];
    const caller = createSoakCaller({
      addresses: site.callerAddresses,
      onResult: (result) => results.push(result),
    });
    await sleep(CUT_SETTLE_MS);
    const cut = site.applyCut(
      { mode: "refuse", first: 0, count: ENTRIES - 1 },
      CUT_MS,
    );
    await sleep(CUT_SETTLE_MS);
    for (const target of PLAIN_ENDPOINTS) {
      void site.applyFault({
        kind: "endpoint_paused",
        at: 0,
        duration: PAUSED_MS,
        target,
      });
    }
    const until = Date.now() + PAUSED_MS;
    for (let count = 0; Date.now() < until; count++) {
      // Entries begin to ask at different times.
      void caller.call(`paused-${count}`, "plain", "key-1");
      await sleep(GAP_MS);
    }
    await cut;
    const { arrivals } = site;
    const paused = arrivals.filter(({ signals }) => signals.pause);
    // All connections come from the entry that is not cut.
    const worst = paused.map(({ endpoint, respondedAt = 0, signals }) =>
      arrivals.filter((other) =>
        other.endpoint === endpoint && other.at >= respondedAt + REACTION_MS &&
        other.at < respondedAt + (signals.pause ?? 0)
      ).length
    );
    await caller.close();
    await site.stop();
    expect(paused.length).to.be.greaterThan(0);
    expect(Math.max(...worst)).to.be.at.most(ALLOWED_IN_PAUSE);
  }).timeout(30_000);
});
