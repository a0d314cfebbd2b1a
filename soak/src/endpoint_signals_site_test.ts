import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { listIgnoredSignals } from "./endpoint_signals.ts";
import type { SeenAnswer } from "./soak_callers.ts";
import { createSoakCaller } from "./soak_callers.ts";
import type { FaultKind } from "./soak_plan.ts";
import { startSoakSite } from "./soak_site.ts";

const ENTRIES = 3;
/** Endpoints that speak: three plain ones, then the engine. */
const FIRST_PLAIN = 0;
const DURATION_MS = 3_000;
/** Until everything that was said has had its effect. */
const WATCHED_MS = 9_000;
const GAP_MS = 12;

/** Real entries before an endpoint that says something, and nothing else. */
async function runSite(kind: FaultKind) {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-signals-"));
  const site = await startSoakSite({ entryCount: ENTRIES, folder });
  const answers: SeenAnswer[] = [];
  const caller = createSoakCaller({
    addresses: site.callerAddresses,
    onAnswer: (answer) => answers.push(answer),
  });
  void site.applyFault({
    kind,
    at: 0,
    duration: DURATION_MS,
    target: FIRST_PLAIN,
  });
  const pending: Promise<unknown>[] = [];
  const startedAt = Date.now();
  for (let count = 0; Date.now() - startedAt < WATCHED_MS; count++) {
    pending.push(caller.call(`${kind}-${count}`, "plain", "key-1"));
    await sleep(GAP_MS);
  }
  await Promise.all(pending);
  const requests = new Map(
    answers.map(({ id, entry, sentAt }) => [id, { entry, sentAt }]),
  );
  const { arrivals, harmed } = site;
  const ignored = listIgnoredSignals(arrivals, { requests, harmed });
  await caller.close();
  await site.stop();
  const served = answers.filter(({ status }) => status === 200).length;
  return { ignored, share: served / answers.length };
}

describe("entries before an endpoint, over real connections", () => {
  const KINDS: readonly FaultKind[] = [
    "endpoint_limited",
    "endpoint_paused",
    "endpoint_says_leaving",
  ];
  for (const kind of KINDS) {
    // Its pool has two others, so its callers need not notice.
    it(`keep to what it says: ${kind}`, async () => {
      const { ignored, share } = await runSite(kind);
      expect(ignored).to.deep.equal([]);
      expect(share).to.be.at.least(0.98);
    }).timeout(30_000);
  }
});
