import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CutMode, ServedCount } from "./endpoint_cuts.ts";
import {
  countAtCuts,
  CUT_MODES,
  CUT_SETTLE_MS,
  listCutViolations,
} from "./endpoint_cuts.ts";
import type { CallResult, RequestKind } from "./soak_callers.ts";
import { createSoakCaller } from "./soak_callers.ts";
import { startSoakSite } from "./soak_site.ts";

const ENTRIES = 3;
const KINDS: readonly RequestKind[] = ["plain", "once", "draft"];
const GAP_MS = 20;
/** Requests are judged in the last seconds of the cut. */
const CUT_MS = CUT_SETTLE_MS + 4_000;
const AFTER_CUT_MS = 1_500;
/** Time in which entries discover each other. */
const DISCOVERY_MS = 1_500;
/** The share of requests that is served where nothing else is wrong. */
const MIN_SERVED_SHARE = 0.9;

/**
 * Cuts entries of a site off from all endpoints, other ones for each mode: one
 * of them dispatches the calls of the stage pool for all.
 */
async function collectResults(mode: CutMode, cutEntries: number) {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-cuts-"));
  const site = await startSoakSite({ entryCount: ENTRIES, folder });
  const results: CallResult[] = [];
  const caller = createSoakCaller({
    addresses: site.callerAddresses,
    onResult: (result) => results.push(result),
  });
  const pending: Promise<unknown>[] = [];
  const startedAt = Date.now();
  const end = startedAt + DISCOVERY_MS + CUT_MS + AFTER_CUT_MS;
  const cut = sleep(DISCOVERY_MS)
    .then(() =>
      site.applyCut({
        mode,
        first: CUT_MODES.indexOf(mode),
        count: cutEntries,
      }, CUT_MS)
    );
  for (let count = 0; Date.now() < end; count++) {
    // The caller uses the entries in turn; each gets requests of all kinds.
    const kind = KINDS[Math.floor(count / ENTRIES) % KINDS.length]!;
    pending.push(caller.call(`${mode}-${count}`, kind, "key-1"));
    await sleep(GAP_MS);
  }
  await Promise.all([cut, ...pending]);
  await caller.close();
  await site.stop();
  return { results, cuts: site.endpointCuts };
}

/** Describes how callers were served. */
function describeService({ sent, served }: ServedCount): string {
  return served >= MIN_SERVED_SHARE * sent
    ? "served"
    : `${served} of ${sent} served`;
}

describe("entries that reach no endpoint, over real connections", () => {
  // Callers, the store and the other entries reach them, so that their callers
  // must not be refused because of a path that others have.
  it("serve their callers, as the other entries do", async () => {
    const found: Record<string, unknown> = {};
    const expected: Record<string, unknown> = {};
    for (const cutEntries of [1, 2]) {
      await Promise.all(CUT_MODES.map(async (mode) => {
        const name = `${cutEntries} of ${ENTRIES}, ${mode}`;
        const { results, cuts } = await collectResults(mode, cutEntries);
        const { cut, others } = countAtCuts(results, cuts);
        found[name] = {
          violations: listCutViolations(results, cuts),
          cut: describeService(cut),
          others: describeService(others),
        };
        expected[name] = { violations: [], cut: "served", others: "served" };
      }));
    }
    expect(found).to.deep.equal(expected);
  }).timeout(90_000);
});
