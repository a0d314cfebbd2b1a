import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CrashingRequest, CrashingSite } from "./crashing_site.ts";
import {
  CRASHING_BODY,
  sendCrashingRequest,
  startCrashingSite,
} from "./crashing_site.ts";

const ENTRIES = 4;
/** A record is in the store by then. */
const GAP_MS = 700;
const DISCOVERY_MS = 1_500;

/**
 * Guards against counts of crashes that end with the entries which keep them:
 * all entries are replaced within a series of crashes, again and again.
 */
describe("crashes of engines are counted across restarts of all entries", () => {
  let site: CrashingSite;

  beforeEach(async () => {
    site = await startCrashingSite(ENTRIES);
    await sleep(DISCOVERY_MS);
  });

  afterEach(() => site.stop());

  /** Replaces all entries after each of these crashes; returns all statuses. */
  async function sendSeries(
    create: (number: number) => CrashingRequest,
    { count, replaceAfter }: { count: number; replaceAfter: readonly number[] },
  ): Promise<number[]> {
    const statuses: number[] = [];
    for (let number = 0; number < count; number++) {
      const before = site.ended.length;
      statuses.push(
        await sendCrashingRequest(site, {
          ...create(number),
          entry: number % ENTRIES,
          id: `r-${number}`,
        }),
      );
      await sleep(GAP_MS);
      const crashes = site.ended.length;
      if (crashes > before && replaceAfter.includes(crashes)) {
        await site.replaceEntries();
      }
    }
    return statuses;
  }

  it("for one request, which is refused after the third", async () => {
    const statuses = await sendSeries(
      () => ({ target: "/once/x", body: CRASHING_BODY }),
      { count: 10, replaceAfter: [1, 2, 4, 6] },
    );
    expect(site.ended.length).to.be.within(3, 4);
    expect(statuses.at(-1)).to.equal(503);
  }).timeout(40_000);

  it("for the first part of prompts, which is refused after the fifth", async () => {
    const statuses = await sendSeries(
      (number) => ({
        target: `/once/${number}`,
        body: `body ${number}`,
        parts: ["bad1", `c${number}`, `a${number}`],
      }),
      { count: 12, replaceAfter: [2, 4, 6, 8] },
    );
    expect(site.ended.length).to.be.within(5, 6);
    expect(statuses.at(-1)).to.equal(503);
  }).timeout(40_000);

  it("and do not stop other requests with the same caller and part", async () => {
    await sendSeries(
      (number) => ({
        target: `/once/${number}`,
        body: `body ${number}`,
        parts: ["f1", "bad1", `a${number}`],
      }),
      { count: 6, replaceAfter: [2] },
    );
    const statuses = await sendSeries(
      (number) => ({
        target: `/once/${number}`,
        body: `body ${number}`,
        parts: ["f1", "c2", `b${number}`],
      }),
      { count: 4, replaceAfter: [] },
    );
    expect(statuses).to.deep.equal([200, 200, 200, 200]);
  }).timeout(40_000);
});
