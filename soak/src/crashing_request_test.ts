import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CrashingSite } from "./crashing_site.ts";
import { CRASHING_BODY, startCrashingSite } from "./crashing_site.ts";
import { callEntry } from "./entry_call.ts";

/**
 * Guards against a request that crashes every engine that runs it and is repeated
 * under a new id through another entry each time. No single entry sees three
 * crashes, so the crashes that all entries see must be added up, and the
 * quarantine must survive the replacement of all entries.
 */
describe("a request that crashes each engine, over real connections", () => {
  const ENTRIES = 4;
  const PAUSE_MS = 500;
  let site: CrashingSite;

  before(async () => {
    site = await startCrashingSite(ENTRIES);
  });

  after(() => site.stop());

  function call(id: string, { entry = 0, body = CRASHING_BODY } = {}) {
    return callEntry(site.callers[entry]!, { path: "once/x", id, body });
  }

  async function callRepeatedly(times: number) {
    let last = { status: 0, retryAfter: 0 };
    for (let time = 0; time < times; time++) {
      last = await call(`r-${Date.now()}-${time}`, { entry: time % ENTRIES });
      await sleep(PAUSE_MS);
    }
    return last;
  }

  it("crashes three engines, and at most one more that already runs it", async () => {
    // Waits until the entries have discovered each other.
    await sleep(1_500);
    const last = await callRepeatedly(8);
    expect(site.ended.length).to.be.within(3, 4);
    expect(last.status).to.equal(503);
    expect(last.retryAfter).to.be.within(500, 600);
  });

  it("is refused by entries that start afterwards", async () => {
    const before = site.ended.length;
    await site.replaceEntries();
    const last = await callRepeatedly(4);
    expect(site.ended.length).to.equal(before);
    expect(last.status).to.equal(503);
  });

  it("does not prevent other requests from being served", async () => {
    const statuses = await Promise.all(
      [0, 1, 2, 3].map((entry) => call(`other-${entry}`, { entry, body: "b" })),
    );
    expect(statuses.map(({ status }) => status))
      .to.deep.equal([200, 200, 200, 200]);
  });
});
