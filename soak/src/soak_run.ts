/**
 * One run of the soak: a site, callers and faults, and what broke.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { listIgnoredSignals } from "./endpoint_signals.ts";
import { listBroken } from "./promises.ts";
import type { RequestKind, SeenAnswer } from "./soak_callers.ts";
import { CALL_TIME_MS, createSoakCaller } from "./soak_callers.ts";
import { ACCOUNTS } from "./soak_config.ts";
import type { SoakKinds } from "./soak_plan.ts";
import { createSoakPlan } from "./soak_plan.ts";
import { startSoakSite } from "./soak_site.ts";

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
  seed: number;
  kinds: SoakKinds;
  /** Time with faults, in milliseconds. */
  length: number;
  entryCount: number;
  /** Settings and logs of the entries go here. */
  folder: string;
}

/** What one run showed. */
export interface SoakResult {
  seed: number;
  requests: number;
  served: number;
  faults: number;
  broken: string[];
}

const KINDS: readonly RequestKind[] = ["plain", "once", "draft"];
const REQUEST_GAP_MS = 25;
/** Stopping entries and leaving endpoints take up to this after the last fault. */
const HEAL_MS = 11_000;
/** Requests after everything has healed. */
const CALM_MS = 2_500;
/** The revoked key is used by one request in so many. */
const REVOKED_EVERY = 5;

/** Runs one seed to its end. */
export async function runSoak(
  { seed, kinds, length, entryCount, folder }: SoakOptions,
): Promise<SoakResult> {
  const plan = createSoakPlan(seed, length, { kinds });
  const site = await startSoakSite({ entryCount, folder });
  const answers: SeenAnswer[] = [];
  const caller = createSoakCaller({
    addresses: site.callerAddresses,
    onAnswer: (answer) => answers.push(answer),
  });
  const startedAt = Date.now();
  const faults = plan.map(async (fault) => {
    await sleep(fault.at);
    await site.applyFault(fault);
  });
  const healed = Promise.race([Promise.all(faults), sleep(length + HEAL_MS)]);
  let calmFrom = Infinity;
  void healed.then(() => sleep(1_500)).then(() => calmFrom = Date.now());

  const pending: Promise<unknown>[] = [];
  for (let count = 0; Date.now() < calmFrom + CALM_MS; count++) {
    const kind = KINDS[count % KINDS.length]!;
    const key = count % REVOKED_EVERY === 0 ? "revoked" : "key-1";
    pending.push(caller.call(`${seed}-${count}-${startedAt}`, kind, key));
    await sleep(REQUEST_GAP_MS);
  }
  await Promise.race([Promise.all(pending), sleep(2 * CALL_TIME_MS)]);
  const broken = listBroken(answers, site.runs, {
    revokedAt: site.revokedAt,
    leftAt: site.leftAt,
    coldSpans: site.coldSpans,
    evacuations: site.evacuations,
    calmFrom,
    accounts: ACCOUNTS,
  });
  const requests = new Map(
    answers.map(({ id, entry, sentAt }) => [id, { entry, sentAt }]),
  );
  const { arrivals, harmed } = site;
  broken.push(...listIgnoredSignals(arrivals, { requests, harmed }));
  await caller.close();
  await site.stop();
  const served = answers.filter(({ status }) => status === 200).length;
  return {
    seed,
    requests: answers.length,
    served,
    faults: plan.length,
    broken,
  };
}
