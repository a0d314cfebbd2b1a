/**
 * Releases the inputs of stage calls as soon as their endpoint has fetched
 * them.
 *
 * Under load, result storage limits a pool's throughput. If inputs were stored
 * until the end of the call that fetches them, they would occupy the storage of
 * the preceding pool for twice as long.
 *
 * @module
 */
import type { PieceSource } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";

/** The pieces of one stage of one request, which share their inputs. */
export interface InputGroup {
  /** Pieces that are in a call or computed. */
  readonly started: number;
  readonly pieces: { readonly length: number };
  /** Start of the last call with pieces of the group. */
  readonly lastCallAt: Millis;
  /** Whether no other stage needs the inputs. */
  readonly ownsInputs: boolean;
  /** Whether the inputs are released, so that the requester need not do it. */
  freedInputs: boolean;
}

/** A call that fetches its inputs. */
export interface InputFetch {
  startedAt: Millis;
  groups: readonly { group: InputGroup; source: PieceSource }[];
  /** Share of the endpoint's result storage that is in use. */
  storageShare: number;
}

/** Releases inputs for one dispatcher. */
export interface InputReleaser {
  /** Records a run of pieces at this dispatcher. */
  recordRun(): void;
  /** Records evidence of another dispatcher, whose queued calls need inputs. */
  recordOtherDispatcher(): void;
  /** Schedules the release of a call's inputs; returns its cancel function. */
  scheduleRelease(call: InputFetch): () => void;
}

/** Options of {@linkcode createInputReleaser}. */
export interface InputReleaserOptions {
  clock: Clock;
  /** Releases results of another pool through the dispatcher of that pool. */
  releaseInputs: (pool: string, results: readonly string[]) => void;
}

/** Endpoints fetch the inputs of a call immediately, in about 10 ms. */
const FETCH_TIME: Millis = 120;
/**
 * With two dispatchers for a short time, as after a restart, a call can be
 * queued at its endpoint before it fetches its inputs. Inputs are therefore
 * released early only if this entry has dispatched for the pool for this long,
 * and no other dispatcher was detected for the same time.
 */
const SOLE_DISPATCHER_TIME: Millis = 5_000;
/**
 * Result sizes are approximate: an endpoint whose storage is filled completely
 * has no storage for some results, which are computed again from the same
 * inputs.
 */
const MAX_STORAGE_SHARE = 0.85;

/** Creates the input releaser of a dispatcher that has just started. */
export function createInputReleaser(
  { clock, releaseInputs }: InputReleaserOptions,
): InputReleaser {
  /** Time since which pieces have arrived here without a long pause. */
  let dispatchingSince = clock.now();
  let lastRunAt = -Infinity;
  let otherDispatcherAt = -Infinity;

  function isSoleDispatcher(): boolean {
    const now = clock.now();
    return now - dispatchingSince > SOLE_DISPATCHER_TIME &&
      now - otherDispatcherAt > SOLE_DISPATCHER_TIME;
  }

  /**
   * Releases the inputs of groups all of whose pieces are in calls, in one
   * message per pool, because a call holds pieces of about ten requests.
   */
  function releaseFetched({ startedAt, groups }: InputFetch): void {
    if (!isSoleDispatcher()) return;
    const byPool = new Map<string, string[]>();
    for (const { group, source } of groups) {
      const isLastCall = group.started >= group.pieces.length &&
        group.lastCallAt === startedAt;
      if (source.kind === "key" || !isLastCall || !group.ownsInputs) continue;
      group.freedInputs = true;
      for (const pool of source.pools) {
        byPool.set(pool, [...byPool.get(pool) ?? [], ...source.results]);
      }
    }
    for (const [pool, results] of byPool) releaseInputs(pool, results);
  }

  return {
    recordRun() {
      const now = clock.now();
      if (now - lastRunAt > SOLE_DISPATCHER_TIME) dispatchingSince = now;
      lastRunAt = now;
    },
    recordOtherDispatcher() {
      otherDispatcherAt = clock.now();
    },
    scheduleRelease(call) {
      if (call.storageShare > MAX_STORAGE_SHARE) return () => {};
      return clock.startTimer(FETCH_TIME, () => releaseFetched(call));
    },
  };
}
