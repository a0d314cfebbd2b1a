/**
 * One soak run: starts a site, sends requests, injects faults and reports
 * violated guarantees.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { listCutViolations, listSoundCuts } from "./endpoint_cuts.ts";
import type { SentRequest } from "./endpoint_signals.ts";
import { listIgnoredSignals } from "./endpoint_signals.ts";
import { listViolations } from "./guarantees.ts";
import { listPoisonViolations, sendPoisonRequests } from "./poison_requests.ts";
import { listRepeats, listRepeatViolations } from "./repeat_checks.ts";
import type { CallResult, RequestKind } from "./soak_callers.ts";
import { CALL_DEADLINE_MS, createSoakCaller } from "./soak_callers.ts";
import { ACCOUNTS } from "./soak_config.ts";
import type { FaultKindSet } from "./soak_plan.ts";
import { createSoakPlan } from "./soak_plan.ts";
import type { SoakSite } from "./soak_site.ts";
import { startSoakSite } from "./soak_site.ts";
import type { ObservedStream, TryCount } from "./stream_callers.ts";
import {
  callStream,
  countTries,
  listLostStreams,
  listStreamViolations,
  TRY_DEADLINE_MS,
} from "./stream_callers.ts";

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
  seed: number;
  kinds: FaultKindSet;
  /** Duration of the fault phase in milliseconds. */
  length: number;
  entryCount: number;
  /** Directory for the settings and logs of the entries. */
  folder: string;
}

/** Result of one run. */
export interface SoakResult {
  seed: number;
  requests: number;
  served: number;
  /** Tries that resumed a stream. */
  resumed: TryCount;
  faults: number;
  /** Arrivals at endpoints beyond the first of each request or piece. */
  repeats: { requests: number; pieces: number };
  violations: string[];
}

const KINDS: readonly RequestKind[] = ["plain", "once", "draft"];
const REQUEST_GAP_MS = 25;
/** Maximum time after the last fault for entries to stop and endpoints to leave. */
const RECOVERY_MS = 11_000;
/** Duration of the request load after recovery. */
const AFTER_RECOVERY_MS = 2_500;
/** Every n-th request uses the key that gets revoked. */
const REVOKED_KEY_INTERVAL = 5;
/** Every n-th request is accompanied by a stream that is resumed. */
const STREAM_INTERVAL = 5;
/** Tries of one stream, each at the next entry. */
const STREAM_TRIES = 4;
/** Faults may have ended the endpoints of a version until shortly before. */
const VERSION_SETTLE_MS = 1_000;

/** Runs one seed to completion. */
export async function runSoak(
  { seed, kinds, length, entryCount, folder }: SoakOptions,
): Promise<SoakResult> {
  const plan = createSoakPlan(seed, length, { kinds });
  const hasPoison = kinds === "all" || kinds === "repeats";
  const site = await startSoakSite({
    entryCount,
    folder,
    hasUnframed: hasPoison,
  });
  const results: CallResult[] = [];
  const caller = createSoakCaller({
    addresses: site.callerAddresses,
    onResult: (result) => results.push(result),
  });
  const startedAt = Date.now();
  const faults = plan.map(async (fault) => {
    await sleep(fault.at);
    await site.applyFault(fault);
  });
  const recovered = Promise.race([
    Promise.all(faults),
    sleep(length + RECOVERY_MS),
  ]);
  const poison = new AbortController();
  const poisonSent = new Map<string, SentRequest>();
  if (hasPoison) {
    void sendPoisonRequests({
      addresses: site.callerAddresses,
      signal: poison.signal,
      hasContent: kinds === "repeats",
      onSent: (id, sent) => poisonSent.set(id, sent),
    });
  }
  let recoveredAt = Infinity;
  void recovered.then(() => sleep(1_500)).then(() => recoveredAt = Date.now());

  const streams: ObservedStream[] = [];
  const pending: Promise<unknown>[] = [];
  for (let count = 0; Date.now() < recoveredAt + AFTER_RECOVERY_MS; count++) {
    // The caller uses the entries in turn; each gets requests of all kinds.
    const kind = KINDS[Math.floor(count / entryCount) % KINDS.length]!;
    const key = count % REVOKED_KEY_INTERVAL === 0 ? "revoked" : "key-1";
    pending.push(caller.call(`${seed}-${count}-${startedAt}`, kind, key));
    if (count % STREAM_INTERVAL === 0) {
      const id = `${seed}-${count}-stream`;
      pending.push(
        runStream(site, { id, count }).then((ended) => streams.push(ended)),
      );
    }
    await sleep(REQUEST_GAP_MS);
  }
  await Promise.race([Promise.all(pending), sleep(2 * CALL_DEADLINE_MS)]);
  poison.abort();
  const violations = listViolations(results, site.runs, {
    revokedAt: site.revokedAt,
    leftAt: site.leftAt,
    storeFaults: site.storeFaults,
    coldSpans: site.coldSpans,
    evacuations: site.evacuations,
    recoveredAt,
    accounts: ACCOUNTS,
  });
  const requests = new Map(
    results.map(({ id, entry, sentAt }) => [id, { entry, sentAt }]),
  );
  const { arrivals, entryFaults } = site;
  violations.push(
    ...listPoisonViolations(arrivals, recoveredAt),
    ...listIgnoredSignals(arrivals, { requests, entryFaults }),
    ...listCutViolations(
      results,
      listSoundCuts(site.endpointCuts, entryFaults),
    ),
  );
  const pieceRepeats = listRepeats(
    site.pieceArrivals.map(({ piece, at }) => ({ name: piece, at })),
  );
  violations.push(
    ...listRepeatViolations(arrivals, site.runs, {
      requests: new Map([
        ...poisonSent,
        ...listSent(results),
        ...listSentStreams(streams),
      ]),
      entryFaults,
      storeFaults: site.storeFaults,
      endpointEnds: site.endpointEnds,
    }),
  );
  violations.push(
    ...listStreamViolations(streams),
    ...listLostStreams(streams, {
      since: recoveredAt + VERSION_SETTLE_MS,
      lasts: (version) =>
        site.chatEndpoints.filter((slot) => slot.readVersion() === version)
          .length >= 2,
    }),
  );
  await caller.close();
  await site.stop();
  const served = results.filter(({ status }) => status === 200).length;
  return {
    seed,
    requests: results.length,
    served,
    resumed: countTries(streams).resumed,
    faults: plan.length,
    repeats: {
      requests: listRepeats(
        arrivals.map(({ requestId, at }) => ({ name: requestId, at })),
      ).length,
      pieces: pieceRepeats.length,
    },
    violations,
  };
}

/** The pool that each kind of request ends at. */
const POOLS: Readonly<Record<RequestKind, string>> = {
  plain: "plain",
  once: "plain",
  draft: "engine",
};

function listSent(
  results: readonly CallResult[],
): (readonly [string, SentRequest])[] {
  return results.map(({ id, entry, sentAt, kind }) => [
    id,
    { entry, sentAt, pool: POOLS[kind], budget: CALL_DEADLINE_MS },
  ]);
}

function listSentStreams(
  streams: readonly ObservedStream[],
): (readonly [string, SentRequest])[] {
  return streams.flatMap(({ tries }) => tries).map(({ id, entry, sentAt }) => [
    id,
    { entry, sentAt, pool: "chat", budget: TRY_DEADLINE_MS },
  ]);
}

/** Runs a stream whose connection breaks after one to four events. */
function runStream(
  { callerAddresses }: SoakSite,
  { id, count }: { id: string; count: number },
): Promise<ObservedStream> {
  const entries = Array.from(
    { length: STREAM_TRIES },
    (_, index) => callerAddresses[(count + index) % callerAddresses.length]!,
  );
  return callStream({ id, entries, breakAfter: 1 + count % 4 });
}
