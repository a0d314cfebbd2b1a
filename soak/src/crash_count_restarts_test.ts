import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { HEADER } from "../../platform/src/wire_names.ts";
import type { CrashingSite } from "./crashing_site.ts";
import { CRASHING_BODY, startCrashingSite } from "./crashing_site.ts";

const ENTRIES = 4;
/** A record is in the store by then. */
const GAP_MS = 700;
const DISCOVERY_MS = 1_500;

/** A request that crashes engines, by its number. */
interface CrashingRequest {
  target: string;
  body: string;
  parts?: readonly string[];
}

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

  async function call(number: number, sent: CrashingRequest): Promise<number> {
    const { target, body, parts = [] } = sent;
    const reply = await request(
      `http://${site.callers[number % ENTRIES]}${target}`,
      {
        method: "POST",
        body,
        headers: {
          host: "soak.example",
          authorization: "Bearer key-1",
          [HEADER.requestId]: `r-${number}`,
          [HEADER.deadline]: "2000",
          ...(parts.length === 0 ? {} : {
            [HEADER.promptParts]: parts.map((part) => `${part}:100`).join(),
          }),
        },
      },
    );
    await reply.body.dump();
    return reply.statusCode;
  }

  /** Replaces all entries after each of these crashes; returns all statuses. */
  async function sendSeries(
    create: (number: number) => CrashingRequest,
    { count, replaceAfter }: { count: number; replaceAfter: readonly number[] },
  ): Promise<number[]> {
    const statuses: number[] = [];
    for (let number = 0; number < count; number++) {
      const before = site.ended.length;
      statuses.push(await call(number, create(number)));
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
