import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CrashingRequest, CrashingSite } from "./crashing_site.ts";
import {
  countLateArrivals,
  CRASHING_BODY,
  sendCrashingRequest,
  startCrashingSite,
} from "./crashing_site.ts";

const ENTRIES = 4;
const DISCOVERY_MS = 1_500;
const PERIOD_MS = 1_600;
const ALLOWED_LATE = 3;

/** Guards against crashes that are not counted as they happen at one moment. */
describe("requests that crash engines and come from several callers in step", () => {
  let site: CrashingSite;

  beforeEach(async () => {
    site = await startCrashingSite(ENTRIES, { places: ENTRIES });
    await sleep(DISCOVERY_MS);
  });

  afterEach(() => site.stop());

  /** Sends one request by each caller, each time; returns the last statuses. */
  async function sendInStep(
    create: (number: number) => CrashingRequest,
    { callers, times }: { callers: number; times: number },
  ): Promise<number[]> {
    let last: number[] = [];
    for (let time = 0; time < times; time++) {
      const period = sleep(PERIOD_MS);
      last = await Promise.all(
        Array.from({ length: callers }, (_, caller) => {
          const number = time * callers + caller;
          const entry = number % ENTRIES;
          return sendCrashingRequest(site, {
            ...create(number),
            entry,
            id: `r-${number}`,
          });
        }),
      );
      await period;
    }
    return last;
  }

  it("are refused if they are the same", async () => {
    const last = await sendInStep(
      () => ({ target: "/once/x", body: CRASHING_BODY }),
      { callers: 4, times: 5 },
    );
    expect(countLateArrivals(site, 3)).to.be.at.most(ALLOWED_LATE);
    expect(last).to.deep.equal([503, 503, 503, 503]);
  }).timeout(40_000);

  it("are refused if they share the first part of their prompts", async () => {
    const last = await sendInStep(
      (number) => ({
        target: `/once/${number}`,
        body: `body ${number}`,
        parts: ["bad1", `c${number}`, `a${number}`],
      }),
      { callers: 3, times: 7 },
    );
    expect(countLateArrivals(site, 5)).to.be.at.most(ALLOWED_LATE);
    expect(last).to.deep.equal([503, 503, 503]);
  }).timeout(40_000);
});
