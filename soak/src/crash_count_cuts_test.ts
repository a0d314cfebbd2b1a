import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CrashingSite } from "./crashing_site.ts";
import {
  countLateArrivals,
  CRASHING_BODY,
  createCrashingSite,
  sendCrashingRequest,
} from "./crashing_site.ts";
import type { EntryProcesses } from "./entry_processes.ts";
import { startEntryProcesses } from "./entry_processes.ts";

const ENTRIES = 8;
const DISCOVERY_MS = 2_500;
const CRASHES_TO_KNOW = 3;
const ALLOWED_LATE = 3;

/** Guards against counts of crashes that need messages between entries. */
describe("a request that crashes each engine, while entries are cut off from each other", () => {
  let site: CrashingSite<EntryProcesses>;

  beforeEach(async () => {
    site = await createCrashingSite(
      { entryCount: ENTRIES },
      startEntryProcesses,
    );
    await sleep(DISCOVERY_MS);
  });

  afterEach(() => site.stop());

  async function sendAtEach(
    entries: readonly number[],
    { count, gap }: { count: number; gap: number },
  ): Promise<number> {
    let last = 0;
    for (let number = 0; number < count; number++) {
      const entry = entries[number % entries.length]!;
      const begin = Date.now();
      last = await sendCrashingRequest(site, {
        target: "/once/x",
        body: CRASHING_BODY,
        entry,
        id: `r-${number}`,
      });
      await sleep(Math.max(0, begin + gap - Date.now()));
    }
    return last;
  }

  it("is refused at an entry whose messages the others do not get", async () => {
    site.entries.cutSending([0], "hang");
    const last = await sendAtEach([0], { count: 12, gap: 900 });
    expect(countLateArrivals(site, CRASHES_TO_KNOW)).to.be.at.most(
      ALLOWED_LATE,
    );
    expect(last).to.equal(503);
  }).timeout(40_000);

  it("is refused if no entry reaches another one", async () => {
    site.entries.cutOff([0, 1, 2, 3, 4, 5, 6, 7], "hang");
    const last = await sendAtEach([0, 1, 2, 3, 4, 5, 6, 7], {
      count: 12,
      gap: 900,
    });
    expect(countLateArrivals(site, CRASHES_TO_KNOW)).to.be.at.most(
      ALLOWED_LATE,
    );
    expect(last).to.equal(503);
  }).timeout(40_000);
});
