/**
 * Checks the guarantees of the program against the requests that callers and
 * endpoints observed in a soak run.
 *
 * @module
 */
import type { CallResult } from "./soak_callers.ts";
import { COLD_RATE } from "./soak_config.ts";
import type { RunLog } from "./soak_endpoints.ts";

/** Injected faults and configuration that the checks depend on. */
export interface GuaranteeContext {
  /** When the key `revoked` was revoked; undefined if it was not. */
  revokedAt: number | undefined;
  /** When an endpoint announced that it is leaving, by endpoint key. */
  leftAt: ReadonlyMap<string, number>;
  /** Periods in which the store was disturbed. */
  storeFaults: readonly StoreFaultSpan[];
  /** Periods in which endpoints were cold. */
  coldSpans: readonly EndpointSpan[];
  /** Periods in which the place of an endpoint was evacuated. */
  evacuations: readonly EndpointSpan[];
  /** All faults have ended by this time. */
  recoveredAt: number;
  /** Client accounts by API key. */
  accounts: ReadonlyMap<string, string>;
}

/** A period in which the store did not serve entries as usual. */
export interface StoreFaultSpan {
  from: number;
  until: number;
}

/** A period in which a condition applied to an endpoint. */
export interface EndpointSpan {
  endpoint: string;
  from: number;
  until: number;
}

/** A revoked key must be refused after this time. */
const REVOKE_MS = 5_000;
/** A leaving endpoint must get no requests after this time. */
const DRAIN_MS = 2_000;
/** An evacuated place must get no requests after this time. */
const EVACUATE_MS = 5_000;
/** Time that entries have to learn that an endpoint is cold. */
const COLD_SETTLE_MS = 2_000;
/** Requests within a second above which a cold endpoint would crash. */
const MAX_COLD_REQUESTS = 1.5 * COLD_RATE + 5;
/** Statuses that guarantee that a request did not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Minimum share of requests served after the last fault. */
const MIN_SERVED_SHARE = 0.9;

/** Describes each violated guarantee. */
export function listViolations(
  results: readonly CallResult[],
  runs: RunLog,
  context: GuaranteeContext,
): string[] {
  const errors = results.flatMap((result) =>
    listResultViolations(result, runs)
  );
  for (const [id, list] of runs) {
    for (const run of list) {
      const left = findLeftAt(run.endpoint, context);
      if (left !== undefined && run.at > left + DRAIN_MS) {
        errors.push(
          `${id} ran at ${run.endpoint} after the endpoint had left`,
        );
      }
    }
  }
  for (const { id, key, sentAt } of results) {
    const ran = runs.get(id) ?? [];
    const { revokedAt } = context;
    const isRevoked = key === "revoked" && revokedAt !== undefined &&
      sentAt > revokedAt + REVOKE_MS;
    if (isRevoked && ran.length > 0) errors.push(`${id} used a revoked key`);
    const account = context.accounts.get(key);
    if (ran.some((run) => run.account !== account)) {
      errors.push(`${id} ran for another account`);
    }
  }
  return [
    ...errors,
    ...listEvacuationViolations(runs, context),
    ...listColdViolations(runs, context),
    ...listRecoveryViolations(results, context),
  ];
}

/**
 * Returns when an endpoint announced that it is leaving; undefined if entries
 * may not have read it, as the store was disturbed then or soon after.
 */
function findLeftAt(
  endpoint: string,
  { leftAt, storeFaults }: GuaranteeContext,
): number | undefined {
  const left = leftAt.get(endpoint);
  if (left === undefined) return undefined;
  const isDisturbed = storeFaults.some(({ from, until }) =>
    from < left + DRAIN_MS && until > left
  );
  return isDisturbed ? undefined : left;
}

function listEvacuationViolations(
  runs: RunLog,
  { evacuations }: GuaranteeContext,
) {
  return [...runs].flatMap(([id, list]) =>
    list.filter((run) =>
      evacuations.some(({ endpoint, from, until }) =>
        run.endpoint === endpoint && run.at > from + EVACUATE_MS &&
        run.at < until
      )
    ).map((run) => `${id} ran at ${run.endpoint} in an evacuated place`)
  );
}

function listColdViolations(
  runs: RunLog,
  { coldSpans }: GuaranteeContext,
): string[] {
  const all = [...runs.values()].flat();
  return coldSpans.flatMap(({ endpoint, from, until }) => {
    const times = all
      .filter((run) =>
        run.endpoint === endpoint && run.at >= from + COLD_SETTLE_MS &&
        run.at < until
      )
      .map(({ at }) => at);
    const max = Math.max(
      0,
      ...times.map((start) =>
        times.filter((at) => at >= start && at < start + 1_000).length
      ),
    );
    return max > MAX_COLD_REQUESTS
      ? [`${max} requests within a second ran at the cold endpoint ${endpoint}`]
      : [];
  });
}

function listResultViolations(result: CallResult, runs: RunLog): string[] {
  const { id, kind, status, defect } = result;
  const ran = runs.get(id)?.length ?? 0;
  const errors: string[] = [];
  if (defect !== undefined) errors.push(`${id} (${kind}) got ${defect}`);
  if (kind !== "plain" && ran > 1) {
    errors.push(`${id} (${kind}) ran ${ran} times`);
  }
  if (kind !== "plain" && NOT_RUN.has(status) && ran > 0) {
    errors.push(`${id} (${kind}) was refused with ${status} and ran`);
  }
  if (status === 200 && ran === 0) errors.push(`${id} succeeded without a run`);
  return errors;
}

function listRecoveryViolations(
  results: readonly CallResult[],
  { recoveredAt }: GuaranteeContext,
): string[] {
  const sent = results.filter(({ sentAt, key }) =>
    sentAt >= recoveredAt && key !== "revoked"
  );
  const served = sent.filter(({ status }) => status === 200).length;
  if (sent.length === 0) return ["no request was sent after the last fault"];
  const share = served / sent.length;
  return share >= MIN_SERVED_SHARE
    ? []
    : [`${served} of ${sent.length} requests were served after the last fault`];
}
