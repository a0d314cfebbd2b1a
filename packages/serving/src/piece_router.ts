/**
 * Hands the pieces of a stage to the entry that feeds their partition of the
 * pool.
 *
 * The feeder of a partition is the first in its rendezvous order of the live
 * entries on large instances, those of its place first, which all entries
 * compute alike. While pieces are with a feeder, it is watched: one that is
 * dead, paused or cut off answers nothing, and the pieces go to the next in
 * order, at last to this entry itself. Without the watch a request would wait
 * for a frozen feeder until its deadline.
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
  chooseOverflow,
  choosePartition,
  createFailure,
  listFeederOrder,
  listPartitions,
  OVERFLOW_WAIT,
} from "@mangoreach/coordination";
import type {
  PieceRun,
  PieceRunReply,
  ServingPeerClient,
  WaitsQuestion,
} from "@mangoreach/peers";
import { MAX_RELEASED } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import { createPoolWaits } from "./pool_wait_cache.ts";
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
  /** The feeder in this process. */
  findFeeder: (pool: string, partition: string) => StageDispatcher;
  listUsable: (pool: string) => readonly EndpointInfo[];
  /** The place of the endpoint that holds a result, if it is known. */
  readPlace: (result: string) => string | undefined;
}

/** The pieces of one stage of one request, for whichever partition. */
export type PieceWork = Omit<PieceRun, "partition">;

/** What a new piece would wait for. */
export interface PieceWaitsQuestion {
  pool: string;
  priority: number;
  /** Where its inputs lie, or its result will be fetched to. */
  place: string | undefined;
}

/** Runs pieces wherever their pool is fed. */
export interface PieceRouter {
  run(
    work: PieceWork,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>>;
  /** What a new piece would wait; none if nobody can tell. */
  readWaits(question: PieceWaitsQuestion): Promise<PieceWaits>;
  /** Frees results; they are freed by who feeds their partition now. */
  release(pool: string, results: readonly string[]): void;
}

/** How often a feeder that has pieces and tells nothing is asked. */
const WATCH_INTERVAL: Millis = 250;
/**
 * A feeder that is silent for this long is taken for dead. One that is only
 * short of processor answers late, which counts as well: taken for dead, its
 * load would go to the next in order, and that one would fall too.
 */
const LONGEST_SILENCE: Millis = 1_300;
/** Feeders that failed are left out for this long. */
const FEEDER_PENALTY: Millis = 3_000;
/** Other feeders that are tried before this entry feeds itself. */
const MAX_FEEDERS = 2;

/** Creates the router of one entry. */
export function createPieceRouter(
  options: PieceRouterOptions,
): PieceRouter {
  const { clock, log, membership, peers, findFeeder } = options;
  /** Control address to the time until which it is left out. */
  const penalties = new Map<string, Millis>();
  const watches = new Map<string, FeederWatch>();
  const poolWaits = createPoolWaits({ clock, ask: askWaits });

  /** Feeders in order; undefined stands for this entry. */
  function listFeeders(name: PartitionName): (string | undefined)[] {
    // News of others is seconds old at times, and differently old at each
    // entry: leaving out who is only suspected would give a pool two feeders.
    // The watch finds a dead one sooner than its silence elsewhere.
    const others = membership.list()
      .filter(({ health, record }) =>
        health !== "lost" && record.state !== "leaving" &&
        !isPenalized(record.controlAddress)
      )
      .map(({ record }) => record);
    return listFeederOrder([membership.self, ...others], name)
      .map(({ entry, controlAddress }) =>
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

  function demoteFeeder(
    address: string,
    { pool, partition }: PartitionName,
    reason: string,
  ): void {
    penalties.set(address, clock.now() + FEEDER_PENALTY);
    log.record("feeder_changed", { pool, partition, left: address, reason });
  }

  async function run(
    work: PieceWork,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const partition = choosePartitionNow(work);
    const reply = await tryFeeders({ ...work, partition }, signal);
    const { pool, priority } = work;
    if (reply.isOk) {
      poolWaits.note({ pool, partition, priority }, reply.value.waits);
    }
    return reply;
  }

  async function askWaits(
    question: WaitsQuestion,
  ): Promise<PieceWaits | undefined> {
    const { pool, partition, priority } = question;
    const address = listFeeders(question)[0];
    if (address === undefined) {
      return findFeeder(pool, partition).readWaits(priority);
    }
    const reply = await peers.readWaits(address, question);
    if (reply.isErr) return undefined;
    noteAlive(address);
    return reply.value;
  }

  /** The partition of the piece's place, and the others. */
  function listChoices(
    { pool, place }: Pick<PieceWaitsQuestion, "pool" | "place">,
  ) {
    const partitions = listPartitions(options.listUsable(pool));
    const home = choosePartition(partitions, place);
    return { home, others: partitions.filter((other) => other !== home) };
  }

  /** By what is known of waits: asking would take longer than it saves. */
  function choosePartitionNow({ pool, place, priority }: PieceWork): string {
    const { home, others } = listChoices({ pool, place });
    return chooseOverflow(home, {
      others,
      readWait: (partition) =>
        poolWaits.peek({ pool, partition, priority })?.onTime,
      random: options.random,
    });
  }

  async function readWaits(
    { pool, priority, place }: PieceWaitsQuestion,
  ): Promise<PieceWaits> {
    const { home, others } = listChoices({ pool, place });
    const ask = (partition: string) =>
      poolWaits.read({ pool, partition, priority });
    const near = await ask(home);
    if (near.onTime <= OVERFLOW_WAIT) return near;
    const all = await Promise.all(others.map(ask));
    return all.reduce(
      (best, waits) =>
        waits.onTime + OVERFLOW_WAIT < best.onTime ? waits : best,
      near,
    );
  }

  async function tryFeeders(
    order: PieceRun,
    signal: AbortSignal,
  ): Promise<Result<PieceRunReply, Failure>> {
    const startedAt = clock.now();
    for (let tried = 0; tried < MAX_FEEDERS; tried++) {
      const address = listFeeders(order)[0];
      if (address === undefined) break;
      const left = computeRest(order, clock.now() - startedAt);
      const reply = await runAt(address, left, signal);
      if (reply.isOk) return reply;
      if (signal.aborted) return Result.err(failGivenUp());
      // Out of time is no fault of the feeder, which is under load then.
      if (clock.now() - startedAt >= order.remaining) {
        return Result.ok(failAllLate(order));
      }
      demoteFeeder(address, order, reply.error.message);
    }
    const left = computeRest(order, clock.now() - startedAt);
    const feeder = findFeeder(order.pool, order.partition);
    return Result.ok(await feeder.run(left, signal));
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
    if (reply.isOk) noteAlive(address);
    watch.pending.delete(abort);
    signal.removeEventListener("abort", abort);
    return reply;
  }

  /** Any answer is a sign of life: it is not asked for another. */
  function noteAlive(address: string): void {
    const watch = watches.get(address);
    if (watch !== undefined) watch.aliveAt = clock.now();
  }

  function findWatch(address: string): FeederWatch {
    const known = watches.get(address);
    if (known !== undefined) return known;
    const watch = { pending: new Set<() => void>(), aliveAt: clock.now() };
    watches.set(address, watch);
    void watchFeeder(address, watch);
    return watch;
  }

  async function watchFeeder(
    address: string,
    watch: FeederWatch,
  ): Promise<void> {
    const readSilence = () => clock.now() - watch.aliveAt;
    for (;;) {
      await clock.sleep(WATCH_INTERVAL);
      if (watch.pending.size === 0) break;
      if (readSilence() < WATCH_INTERVAL) continue;
      const reply = await peers.ping(address);
      if (reply.isOk) noteAlive(address);
      else if (readSilence() >= LONGEST_SILENCE) break;
    }
    watches.delete(address);
    watch.pending.forEach((abort) => abort());
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

  function releaseAt(name: PartitionName, results: readonly string[]): void {
    const releaseHere = (list: readonly string[]) =>
      findFeeder(name.pool, name.partition).release(list);
    const address = listFeeders(name)[0];
    if (address === undefined) return releaseHere(results);
    for (let at = 0; at < results.length; at += MAX_RELEASED) {
      const part = results.slice(at, at + MAX_RELEASED);
      void peers.releaseResults(address, { ...name, results: part })
        .then((reply) => {
          if (reply.isErr) releaseHere(part);
        });
    }
  }

  return { run, readWaits, release };
}

function failAllLate({ pieces }: PieceRun): PieceRunReply {
  return {
    outcomes: pieces.map(() => ({ kind: "failed", reason: "late" })),
    waits: { onTime: 0, late: 0, growth: 0 },
    freedInputs: false,
  };
}

/** The same run after some time has passed. */
function computeRest(run: PieceRun, passed: Millis): PieceRun {
  const { onTime, remaining } = run;
  return { ...run, onTime: onTime - passed, remaining: remaining - passed };
}

type PartitionName = Pick<PieceRun, "pool" | "partition">;

interface FeederWatch {
  /** When it last gave a sign of life. */
  aliveAt: Millis;
  /** Gives up each run that is with the feeder. */
  pending: Set<() => void>;
}

function failGivenUp(): Failure {
  return createFailure("cancelled", {
    verdict: "not_run",
    message: "the request was given up while its stages ran",
  });
}
