/**
 * Routes the pieces of a stage to the dispatcher of their pool partition.
 *
 * All entries compute the same rendezvous order of the live entries on large
 * instances, those in the partition's place first; the first in this order is
 * the dispatcher. While it has pieces of this entry, its liveness is probed. If
 * it is dead, frozen or unreachable, the pieces go to the next entry in order,
 * and finally to the dispatcher in this process. Without the probe a request
 * would wait for a frozen dispatcher until its deadline.
 *
 * @module
 */
import type {
  EndpointInfo,
  Failure,
  Membership,
  PieceWaits,
} from "@mangoreach/coordination";
import {
  chooseOverflowPartition,
  choosePartition,
  createFailure,
  listDispatcherOrder,
  listPartitions,
  OVERFLOW_WAIT,
} from "@mangoreach/coordination";
import type {
  PieceRun,
  PieceRunReply,
  ServingPeerClient,
  WaitsQuery,
  WaitsReply,
} from "@mangoreach/peers";
import { MAX_ACCOUNT_LENGTH, MAX_RELEASED } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import { createPoolWaitCache } from "./pool_wait_cache.ts";
import type { StageDispatcher } from "./stage_dispatcher.ts";

/** Options of {@linkcode createPieceRouter}. */
export interface PieceRouterOptions {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  membership: Membership;
  peers: Pick<
    ServingPeerClient,
    "runPieces" | "readWaits" | "ping" | "releaseResults"
  >;
  /** Returns the dispatcher of a partition in this process. */
  findDispatcher: (pool: string, partition: string) => StageDispatcher;
  listUsable: (pool: string) => readonly EndpointInfo[];
  /** Returns the place of the endpoint that stores a result, if it is known. */
  readPlace: (result: string) => string | undefined;
}

/** The pieces of one stage of one request; the router chooses the partition. */
export type PieceWork = Omit<PieceRun, "partition">;

/** A query for the estimated queueing delay of a new piece. */
export interface PieceWaitsQuery {
  pool: string;
  priority: number;
  /** Place that stores the inputs, or from which the result will be fetched. */
  place: string | undefined;
  /** The client account, if it is known. */
  account?: string | undefined;
}

/** Runs pieces at the dispatcher of their partition. */
export interface PieceRouter {
  run(
    work: PieceWork,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>>;
  /** Estimates the queueing delay of a new piece; zero if it is unknown. */
  readWaits(query: PieceWaitsQuery): Promise<PieceWaits>;
  /** Releases results through the current dispatcher of their partition. */
  release(pool: string, results: readonly string[]): void;
}

/** Interval of the liveness probes of a dispatcher that has pieces. */
const PROBE_INTERVAL: Millis = 250;
/**
 * A dispatcher without any reply for this long is considered dead. Late replies
 * count as signs of life: if a dispatcher that is only short of CPU were
 * considered dead, its load would move to the next entry in order and overload
 * that one too.
 */
const LIVENESS_TIMEOUT: Millis = 1_300;
/** Dispatchers that failed are skipped for this long. */
const DEMOTION_TIME: Millis = 3_000;
/** Other dispatchers that are tried before the one in this process. */
const MAX_REMOTE_DISPATCHERS = 2;

/** Creates the router of one entry. */
export function createPieceRouter(
  options: PieceRouterOptions,
): PieceRouter {
  const { clock, log, membership, peers, findDispatcher } = options;
  /** Control address of each demoted dispatcher to the end of its demotion. */
  const demotions = new Map<string, Millis>();
  const probes = new Map<string, LivenessProbe>();
  const poolWaits = createPoolWaitCache({ clock, fetchWaits });

  /** Lists dispatchers in order; undefined stands for this entry. */
  function listDispatchers(key: PartitionKey): (string | undefined)[] {
    // Membership data can be stale by seconds and differs between entries. If
    // suspected entries were skipped, a pool could get two dispatchers. The
    // liveness probe detects a dead one sooner than membership does.
    const others = membership.list()
      .filter(({ health, record }) =>
        health !== "lost" && record.state !== "leaving" &&
        !isDemoted(record.controlAddress)
      )
      .map(({ record }) => record);
    return listDispatcherOrder([membership.self, ...others], key)
      .map(({ entry, controlAddress }) =>
        entry === membership.self.entry ? undefined : controlAddress
      );
  }

  function isDemoted(address: string): boolean {
    const until = demotions.get(address);
    if (until === undefined) return false;
    if (clock.now() < until) return true;
    demotions.delete(address);
    return false;
  }

  function demoteDispatcher(
    address: string,
    { pool, partition }: PartitionKey,
    reason: string,
  ): void {
    demotions.set(address, clock.now() + DEMOTION_TIME);
    log.record("feeder_changed", { pool, partition, left: address, reason });
  }

  async function run(
    work: PieceWork,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const partition = chooseRunPartition(work);
    const reply = await tryDispatchers({ ...work, partition }, signal);
    const { pool, priority, account } = work;
    if (reply.isOk) {
      poolWaits.record(
        { pool, partition, priority, account },
        reply.value.waits,
      );
    }
    return reply;
  }

  async function fetchWaits(
    query: WaitsQuery,
  ): Promise<WaitsReply | undefined> {
    const { pool, partition, priority, account } = query;
    const address = listDispatchers(query)[0];
    if (address === undefined) {
      return findDispatcher(pool, partition).readWaits(priority, account);
    }
    const reply = await peers.readWaits(address, query);
    if (reply.isErr) return undefined;
    recordAlive(address);
    return reply.value;
  }

  /** Returns the partition of the piece's place, and the others. */
  function listPoolPartitions(
    { pool, place }: Pick<PieceWaitsQuery, "pool" | "place">,
  ) {
    const partitions = listPartitions(options.listUsable(pool));
    const home = choosePartition(partitions, place);
    return { home, others: partitions.filter((other) => other !== home) };
  }

  /** Uses cached waits only: a query would take longer than it saves. */
  function chooseRunPartition(
    { pool, place, priority, account }: PieceWork,
  ): string {
    const { home, others } = listPoolPartitions({ pool, place });
    return chooseOverflowPartition(home, {
      others,
      readWait: (partition) =>
        poolWaits.peek({ pool, partition, priority, account })?.onTime,
      random: options.random,
    });
  }

  async function readWaits(
    { pool, priority, place, account }: PieceWaitsQuery,
  ): Promise<PieceWaits> {
    const name = account?.slice(0, MAX_ACCOUNT_LENGTH);
    const { home, others } = listPoolPartitions({ pool, place });
    const read = (partition: string) =>
      poolWaits.read({ pool, partition, priority, account: name });
    const homeWaits = await read(home);
    if (homeWaits.onTime <= OVERFLOW_WAIT) return homeWaits;
    const all = await Promise.all(others.map(read));
    return all.reduce(
      (best, waits) =>
        waits.onTime + OVERFLOW_WAIT < best.onTime ? waits : best,
      homeWaits,
    );
  }

  async function tryDispatchers(
    order: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const startedAt = clock.now();
    for (let tried = 0; tried < MAX_REMOTE_DISPATCHERS; tried++) {
      const address = listDispatchers(order)[0];
      if (address === undefined) break;
      const left = computeRemaining(order, clock.now() - startedAt);
      const reply = await runAt(address, left, signal);
      if (reply.isOk) return reply;
      if (signal.aborted) return Result.err(createCancelledFailure());
      // A dispatcher that only ran out of time is under load and has not
      // failed.
      if (clock.now() - startedAt >= order.remaining) {
        return Result.ok(createLateReply(order));
      }
      demoteDispatcher(address, order, reply.error.message);
    }
    const left = computeRemaining(order, clock.now() - startedAt);
    const dispatcher = findDispatcher(order.pool, order.partition);
    return Result.ok(await dispatcher.run(left, signal));
  }

  async function runAt(
    address: string,
    order: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const probe = findProbe(address);
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    probe.pending.add(abort);
    const reply = await peers.runPieces(address, order, controller.signal);
    if (reply.isOk) recordAlive(address);
    probe.pending.delete(abort);
    signal.removeEventListener("abort", abort);
    return reply;
  }

  /**
   * Any reply proves that a dispatcher is alive, so the next probe is skipped.
   */
  function recordAlive(address: string): void {
    const probe = probes.get(address);
    if (probe !== undefined) probe.aliveAt = clock.now();
  }

  function findProbe(address: string): LivenessProbe {
    const known = probes.get(address);
    if (known !== undefined) return known;
    const probe = { pending: new Set<() => void>(), aliveAt: clock.now() };
    probes.set(address, probe);
    void probeDispatcher(address, probe);
    return probe;
  }

  async function probeDispatcher(
    address: string,
    probe: LivenessProbe,
  ): Promise<void> {
    const readReplyAge = () => clock.now() - probe.aliveAt;
    for (;;) {
      await clock.sleep(PROBE_INTERVAL);
      if (probe.pending.size === 0) break;
      if (readReplyAge() < PROBE_INTERVAL) continue;
      const reply = await peers.ping(address);
      if (reply.isOk) recordAlive(address);
      else if (readReplyAge() >= LIVENESS_TIMEOUT) break;
    }
    probes.delete(address);
    probe.pending.forEach((abort) => abort());
  }

  function release(pool: string, results: readonly string[]): void {
    const partitions = listPartitions(options.listUsable(pool));
    const byPartition = new Map<string, string[]>();
    for (const result of results) {
      const partition = choosePartition(partitions, options.readPlace(result));
      const list = byPartition.get(partition) ?? [];
      byPartition.set(partition, list);
      list.push(result);
    }
    for (const [partition, list] of byPartition) {
      releaseAt({ pool, partition }, list);
    }
  }

  function releaseAt(key: PartitionKey, results: readonly string[]): void {
    const releaseHere = (list: readonly string[]) =>
      findDispatcher(key.pool, key.partition).release(list);
    const address = listDispatchers(key)[0];
    if (address === undefined) return releaseHere(results);
    for (let at = 0; at < results.length; at += MAX_RELEASED) {
      const part = results.slice(at, at + MAX_RELEASED);
      void peers.releaseResults(address, { ...key, results: part })
        .then((reply) => {
          if (reply.isErr) releaseHere(part);
        });
    }
  }

  return { run, readWaits, release };
}

function createLateReply({ pieces }: PieceRun): PieceRunReply {
  return {
    outcomes: pieces.map(() => ({ kind: "failed", reason: "late" })),
    waits: { onTime: 0, late: 0, growth: 0 },
    freedInputs: false,
  };
}

/** Subtracts the elapsed time from the remaining times of a run. */
function computeRemaining(run: PieceRun, elapsed: Millis): PieceRun {
  const { onTime, remaining } = run;
  return { ...run, onTime: onTime - elapsed, remaining: remaining - elapsed };
}

type PartitionKey = Pick<PieceRun, "pool" | "partition">;

interface LivenessProbe {
  /** Time of its last reply. */
  aliveAt: Millis;
  /** Abort functions of the runs in progress at the dispatcher. */
  pending: Set<() => void>;
}

function createCancelledFailure(): Failure {
  return createFailure("cancelled", {
    verdict: "not_run",
    message: "the request was given up while its stages ran",
  });
}
