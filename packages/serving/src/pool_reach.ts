/**
 * Tracks whether this entry reaches the endpoints of each pool. If it reaches
 * none of them while others do, its own network path is broken.
 *
 * @module
 */
import type { EndpointInfo } from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Clock, ConnectFailure, Millis } from "@mangoreach/shared";
import { putBounded } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { ServingMetrics } from "./serving_metrics.ts";

/** The outcome of opening a connection. */
export type ConnectOutcome = "connected" | PathFailure;

/** A failure that says something about the path. */
type PathFailure = Extract<ConnectFailure, "refused" | "silent">;

/** Records how a direct connection to an endpoint was opened. */
export type RecordConnect = (
  endpoint: EndpointInfo,
  outcome: ConnectOutcome,
) => void;

/** Options of {@linkcode createPoolReach}. */
export interface PoolReachOptions {
  clock: Clock;
  log: DecisionLog;
  metrics: Pick<ServingMetrics, "countConnect">;
  listUsable: (pool: string) => readonly EndpointInfo[];
}

/** Maximum number of endpoints whose last failure is remembered. */
const MAX_FAILED = 4_096;

/** Creates the record of an entry that has opened no connection. */
export function createPoolReach(
  { clock, log, metrics, listUsable }: PoolReachOptions,
): RecordConnect {
  /** By endpoint key, how the last connection failed. */
  const failed = new Map<string, PathFailure>();
  const unreachableSince = new Map<string, Millis>();

  function recordFailure(
    endpoint: EndpointInfo,
    failure: PathFailure,
  ): void {
    const { pool } = endpoint;
    putBounded(failed, [formatEndpointKey(endpoint), failure], MAX_FAILED);
    if (unreachableSince.has(pool)) return;
    const failures = listUsable(pool)
      .map((usable) => failed.get(formatEndpointKey(usable)));
    if (failures.length === 0 || failures.includes(undefined)) return;
    unreachableSince.set(pool, clock.now());
    log.record("pool_unreachable", {
      pool,
      endpoints: failures.length,
      refused: failures.filter((one) => one === "refused").length,
      silent: failures.filter((one) => one === "silent").length,
    });
  }

  function recordConnected(endpoint: EndpointInfo): void {
    const { pool } = endpoint;
    failed.delete(formatEndpointKey(endpoint));
    const since = unreachableSince.get(pool);
    if (since === undefined) return;
    unreachableSince.delete(pool);
    log.record("pool_reachable", {
      pool,
      endpoint: endpoint.id,
      unreachableFor: clock.now() - since,
    });
  }

  return (endpoint, outcome) => {
    metrics.countConnect(endpoint.pool, outcome);
    if (outcome === "connected") recordConnected(endpoint);
    else recordFailure(endpoint, outcome);
  };
}
