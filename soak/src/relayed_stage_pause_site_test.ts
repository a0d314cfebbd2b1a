import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createSoakCaller } from "./soak_callers.ts";
import { startSoakSite } from "./soak_site.ts";

const ENTRIES = 8;
/** Peers know by then that an entry reaches no endpoint. */
const CUT_SETTLE_MS = 2_500;
const CUT_MS = 8_000;
const PAUSE_MS = 2_000;
const GAP_MS = 30;
/** What an endpoint may get between this and the end of its pause. */
const REACTION_MS = 500;
const ALLOWED_IN_PAUSE = 2;

describe("entries that reach stage endpoints through one of them", () => {
  // Guards against calls and releases that reach a stage endpoint through a
  // relay within the pause that the endpoint has asked the relay for.
  it("keep to a pause that an endpoint asked the relay for", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-stages-"));
    const site = await startSoakSite({ entryCount: ENTRIES, folder });
    const caller = createSoakCaller({
      addresses: site.callerAddresses,
      onResult: () => {},
    });
    const endAt = Date.now() + CUT_SETTLE_MS + CUT_MS;
    const load = (async () => {
      for (let count = 0; Date.now() < endAt; count++) {
        void caller.call(`paused-${count}`, "draft", "key-1");
        await sleep(GAP_MS);
      }
    })();
    const cut = site.applyCut(
      { mode: "refuse", first: 0, count: ENTRIES - 1 },
      CUT_MS,
    );
    await sleep(CUT_SETTLE_MS);
    await site.applyStagePause(PAUSE_MS, PAUSE_MS);
    await Promise.all([cut, load]);
    const { stageArrivals } = site;
    const paused = stageArrivals.filter(({ pause }) => pause !== undefined);
    // All connections come from the entry that is not cut.
    const worst = paused.map(({ endpoint, at, pause = 0 }) =>
      stageArrivals.filter((other) =>
        other.endpoint === endpoint && other.at >= at + REACTION_MS &&
        other.at < at + pause
      ).length
    );
    await caller.close();
    await site.stop();
    expect(stageArrivals.length).to.be.greaterThan(paused.length);
    expect(paused.length).to.be.greaterThan(0);
    expect(Math.max(...worst)).to.be.at.most(ALLOWED_IN_PAUSE);
  }).timeout(40_000);
});
