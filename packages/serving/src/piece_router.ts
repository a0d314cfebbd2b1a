/**
 * Hands the pieces of a stage to the entry that feeds its pool.
 *
 * The feeder of a pool is the first in the pool's rendezvous order of the live
 * entries on large instances, which all entries compute alike. While pieces are
 * with a feeder, it is watched: one that is dead, paused or cut off answers no
 * exchange, and the pieces go to the next in order, at last to this entry
 * itself. Without the watch a request would wait for a frozen feeder until its
 * deadline.
 *
 * @module
 */
import type {
  Failure,
  Membership,
  PeerRecord,
  PieceWaits,
} from "@mangoreach/coordination";
import {
  createFailure,
  listByRendezvous,
  listStrong,
} from "@mangoreach/coordination";
import type {
  PieceRun,
  PieceRunReply,
  ServingPeerClient,
} from "@mangoreach/peers";
import { MAX_RELEASED } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import { createPoolWaits } from "./pool_waits.ts";
import type { StageFeeder } from "./stage_feeder.ts";

/** Options of {@linkcode createPieceRouter}. */
export interface PieceRouterOptions {
  clock: Clock;
  log: DecisionLog;
  membership: Membership;
  peers: ServingPeerClient;
  /** The feeder in this process. */
  findFeeder: (pool: string) => StageFeeder;
}

/** Runs pieces wherever their pool is fed. */
export interface PieceRouter {
  run(
    run: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>>;
  /** What a new piece would wait; none if nobody can tell. */
  readWaits(pool: string, priority: number): Promise<PieceWaits>;
  /** Frees results; they are freed by who feeds the pool now. */
  release(pool: string, results: readonly string[]): void;
}

/** How often a feeder that has pieces is asked whether it lives. */
const WATCH_INTERVAL: Millis = 250;
/**
 * This many unanswered questions in a row and it is taken for dead. One that is
 * only short of processor answers runs meanwhile, which counts as well: taken
 * for dead, its load would go to the next in order, and that one would fall too.
 */
const WATCH_FAILURES = 2;
/** Feeders that failed are left out for this long. */
const FEEDER_PENALTY: Millis = 3_000;
/** Other feeders that are tried before this entry feeds itself. */
const MAX_FEEDERS = 2;

/** Creates the router of one entry. */
export function createPieceRouter(
  { clock, log, membership, peers, findFeeder }: PieceRouterOptions,
): PieceRouter {
  /** Control address to the time until which it is left out. */
  const penalties = new Map<string, Millis>();
  const watches = new Map<string, FeederWatch>();
  const poolWaits = createPoolWaits({ clock, ask: askWaits });

  /** Feeders in order; undefined stands for this entry. */
  function listFeeders(pool: string): (string | undefined)[] {
    // News of others is seconds old at times, and differently old at each entry:
    // leaving out who is only suspected would give a pool two feeders. The
    // watch finds a dead one sooner than its silence elsewhere.
    const others = membership.list()
      .filter(({ health, record }) =>
        health !== "lost" && record.state === "live" &&
        !isPenalized(record.controlAddress)
      )
      .map(({ record }) => record);
    const ranked = listByRendezvous<PeerRecord>(
      listStrong([membership.self, ...others], ({ capacity }) => capacity),
      { key: pool, readName: ({ entry }) => entry },
    );
    return ranked.map(({ entry, controlAddress }) =>
      entry === membership.self.entry ? undefined : controlAddress
    );
  }

  function isPenalized(address: string): boolean {
    const until = penalties.get(address);
    if (until === undefined) return false;
    if (clock.now() < until) return true;
    penalties.delete(address);
    return false;
  }

  function demoteFeeder(address: string, pool: string, reason: string): void {
    penalties.set(address, clock.now() + FEEDER_PENALTY);
    log.record("feeder_changed", { pool, left: address, reason });
  }

  async function run(
    order: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const reply = await tryFeeders(order, signal);
    const { pool, priority } = order;
    if (reply.isOk) poolWaits.note(pool, priority, reply.value.waits);
    return reply;
  }

  async function askWaits(
    pool: string,
    priority: number,
  ): Promise<PieceWaits | undefined> {
    const address = listFeeders(pool)[0];
    if (address === undefined) return findFeeder(pool).readWaits(priority);
    const reply = await peers.readWaits(address, { pool, priority });
    return reply.isOk ? reply.value : undefined;
  }

  async function tryFeeders(
    order: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const startedAt = clock.now();
    for (let tried = 0; tried < MAX_FEEDERS; tried++) {
      const address = listFeeders(order.pool)[0];
      if (address === undefined) break;
      const left = computeRest(order, clock.now() - startedAt);
      const reply = await runAt(address, left, signal);
      if (reply.isOk) return reply;
      if (signal.aborted) return Result.err(failGivenUp());
      // Out of time is no fault of the feeder, which is under load then.
      if (clock.now() - startedAt >= order.remaining) {
        return Result.ok(failAllLate(order));
      }
      demoteFeeder(address, order.pool, reply.error.message);
    }
    const left = computeRest(order, clock.now() - startedAt);
    return Result.ok(await findFeeder(order.pool).run(left, signal));
  }

  async function runAt(
    address: string,
    order: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const watch = findWatch(address);
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    watch.pending.add(abort);
    const reply = await peers.runPieces(address, order, controller.signal);
    if (reply.isOk) watch.failures = 0;
    watch.pending.delete(abort);
    signal.removeEventListener("abort", abort);
    return reply;
  }

  function findWatch(address: string): FeederWatch {
    const known = watches.get(address);
    if (known !== undefined) return known;
    const watch: FeederWatch = { pending: new Set(), failures: 0 };
    watches.set(address, watch);
    void watchFeeder(address, watch);
    return watch;
  }

  async function watchFeeder(
    address: string,
    watch: FeederWatch,
  ): Promise<void> {
    do {
      await clock.sleep(WATCH_INTERVAL);
      if (watch.pending.size === 0) break;
      const message = { heartbeats: [], introductions: [], leaving: [] };
      const reply = await peers.exchange(address, message);
      watch.failures = reply.isOk ? 0 : watch.failures + 1;
    } while (watch.failures < WATCH_FAILURES);
    watches.delete(address);
    if (watch.failures > 0) watch.pending.forEach((abort) => abort());
  }

  function release(pool: string, results: readonly string[]): void {
    if (results.length === 0) return;
    const address = listFeeders(pool)[0];
    if (address === undefined) return findFeeder(pool).release(results);
    for (let at = 0; at < results.length; at += MAX_RELEASED) {
      const part = results.slice(at, at + MAX_RELEASED);
      void peers.releaseResults(address, { pool, results: part })
        .then((reply) => {
          if (reply.isErr) findFeeder(pool).release(part);
        });
    }
  }

  return { run, readWaits: poolWaits.read, release };
}

function failAllLate({ pieces }: PieceRun): PieceRunReply {
  return {
    outcomes: pieces.map(() => ({ kind: "failed", reason: "late" })),
    waits: { onTime: 0, late: 0, growth: 0 },
  };
}

/** The same run after some time has passed. */
function computeRest(run: PieceRun, passed: Millis): PieceRun {
  const { onTime, remaining } = run;
  return { ...run, onTime: onTime - passed, remaining: remaining - passed };
}

interface FeederWatch {
  /** Unanswered questions since it last gave a sign of life. */
  failures: number;
  /** Gives up each run that is with the feeder. */
  pending: Set<() => void>;
}

function failGivenUp(): Failure {
  return createFailure("cancelled", {
    verdict: "not_run",
    message: "the request was given up while its stages ran",
  });
}
