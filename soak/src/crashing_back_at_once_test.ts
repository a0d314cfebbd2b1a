import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CrashingSite } from "./crashing_site.ts";
import {
  countLateArrivals,
  CRASHING_BODY,
  sendCrashingRequest,
  startCrashingSite,
} from "./crashing_site.ts";

const ENTRIES = 4;
const DISCOVERY_MS = 1_500;
const GAP_MS = 800;
const COUNT = 12;
const CRASHES_TO_KNOW = 3;
const ALLOWED_LATE = 3;

describe("a request that crashes engines which are back at once", () => {
  let site: CrashingSite;

  before(async () => {
    site = await startCrashingSite(ENTRIES, { isBackAtOnce: true });
    await sleep(DISCOVERY_MS);
  });

  after(() => site.stop());

  // Guards against a crash that is taken for a broken connection since the
  // address of the engine accepts connections again.
  it("is refused", async () => {
    let last = 0;
    for (let number = 0; number < COUNT; number++) {
      last = await sendCrashingRequest(site, {
        target: "/once/x",
        body: CRASHING_BODY,
        entry: number % ENTRIES,
        id: `r-${number}`,
      });
      await sleep(GAP_MS);
    }
    expect(countLateArrivals(site, CRASHES_TO_KNOW))
      .to.be.at.most(ALLOWED_LATE);
    expect(last).to.equal(503);
  }).timeout(40_000);
});
