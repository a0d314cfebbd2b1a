/**
 * Authenticates a request and selects its route and pool, from its head and the
 * configuration in force.
 *
 * @module
 */
import type {
  Failure,
  Route,
  RouteTable,
  WeightedPool,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { RequestHead } from "./platform_interfaces.ts";
import type { ServingState } from "./serving_state.ts";
import type { ResumeTarget } from "./stream_resumption.ts";

/** What a request was admitted to. */
export interface AdmittedRoute {
  route: Route;
  table: RouteTable;
  /** The pool that answers this request. */
  pool: string;
  /** The only version of endpoints that may serve it; undefined if any may. */
  version?: string;
  /** The client account; undefined on public routes or without accounts. */
  account: string | undefined;
  /** 0 is the highest. */
  priority: number;
  /**
   * The rank in stage queues, 0 first: by priority, and within one account
   * priority by the priority of the route.
   */
  rank: number;
}

/** Route priorities that are distinguished within one account priority. */
const ROUTE_PRIORITIES = 16;

/** A caller that retries after this time may reach another entry. */
const RETRY_AFTER_STALE: Millis = 300;

/** Finds the route, the client account and the pool of a request. */
export function admitRequest(
  { readTable, configAge, isBehindPeers, maxKeyAge, random }: ServingState,
  head: RequestHead,
): Result<AdmittedRoute, Failure> {
  const table = readTable();
  if (table === undefined) {
    return Result.err(failStale("no configuration is known yet"));
  }
  // An entry that was disconnected or paused, or that read from a store which
  // has lost the newest configuration, does not know which routes and keys were
  // added or revoked. A revoked key must not grant access and a new route must
  // not be reported as missing, so neither is decided by a stale configuration.
  const isStale = configAge.read() > maxKeyAge || isBehindPeers();
  const route = table.findRoute(head.host, readPath(head.target));
  if (route === undefined) {
    return Result.err(
      isStale
        ? failStale("the configuration known here is old")
        : failNotFound(),
    );
  }
  const pool = choosePool(route.pools, random);
  const { accounts } = table.config;
  if (accounts === undefined || route.isPublic) {
    const { priority } = route;
    const rank = computeRank(priority, priority);
    return Result.ok({
      route,
      table,
      pool,
      account: undefined,
      priority,
      rank,
    });
  }
  if (isStale) return Result.err(failStale("the keys known here are old"));
  const account = head.key === undefined
    ? undefined
    : table.findAccount(head.key);
  if (account === undefined) return Result.err(failUnauthorized());
  const priority = account.priority ?? route.priority;
  const rank = computeRank(priority, route.priority);
  const { name } = account;
  return Result.ok({ route, table, pool, account: name, priority, rank });
}

/**
 * Fixes the endpoints of a resumed stream. It comes before streams of its
 * priority that have not begun: its caller has waited for part of it already.
 */
export function admitResumed(
  admitted: AdmittedRoute,
  { pool, version }: ResumeTarget,
): AdmittedRoute {
  const priority = Math.max(0, admitted.priority - 1);
  const rank = Math.max(0, admitted.rank - ROUTE_PRIORITIES);
  return { ...admitted, pool, version, priority, rank };
}

function computeRank(priority: number, routePriority: number): number {
  return priority * ROUTE_PRIORITIES +
    Math.min(ROUTE_PRIORITIES - 1, routePriority);
}

function readPath(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

function choosePool(
  pools: readonly WeightedPool[],
  random: () => number,
): string {
  const total = pools.reduce((sum, { weight }) => sum + weight, 0);
  let draw = random() * total;
  for (const { pool, weight } of pools) {
    draw -= weight;
    if (draw < 0) return pool;
  }
  return pools[0]?.pool ?? "";
}

function failStale(message: string): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message,
    retryAfterMs: RETRY_AFTER_STALE,
  });
}

function failNotFound(): Failure {
  return createFailure("not_found", {
    verdict: "not_run",
    message: "no route matches this host and path",
  });
}

function failUnauthorized(): Failure {
  return createFailure("unauthorized", {
    verdict: "not_run",
    message: "the key belongs to no client account",
  });
}
