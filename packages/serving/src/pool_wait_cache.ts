/**
 * What the feeders of pools say of waits, for admission: kept for a short time,
 * then asked for anew.
 *
 * Waits also come with each run of pieces, but only when it ends: at the start
 * of a burst that is a second too late, and an entry that refuses all has no
 * runs that could tell it that the burst is over.
 *
 * @module
 */
import type { PieceWaits } from "@mangoreach/coordination";
import type { WaitsQuestion } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createPoolWaits}. */
export interface PoolWaitsOptions {
  clock: Clock;
  /** Asks who feeds it; undefined if that does not answer. */
  ask: (question: WaitsQuestion) => Promise<PieceWaits | undefined>;
}

/** The waits of all pools. */
export interface PoolWaits {
  note(question: WaitsQuestion, waits: PieceWaits): void;
  read(question: WaitsQuestion): Promise<PieceWaits>;
  /** What is known without asking, if it is young enough. */
  peek(question: WaitsQuestion): PieceWaits | undefined;
}

/** News of a pool without waits; a queue of a second takes longer to grow. */
const CALM_LIFETIME: Millis = 400;
/** News of a loaded pool; its queue changes with every call, in some 300 ms. */
const LOADED_LIFETIME: Millis = 120;
/** Shorter waits are those between two calls. */
const LOADED_WAIT: Millis = 100;
/** Older news of a feeder that does not answer says nothing. */
const LONGEST_LIFETIME: Millis = 800;
const NO_WAITS: PieceWaits = { onTime: 0, late: 0, growth: 0 };

interface Known {
  waits: PieceWaits;
  at: Millis;
}

/** Creates the waits of pools nothing is known of. */
export function createPoolWaits(
  { clock, ask }: PoolWaitsOptions,
): PoolWaits {
  const known = new Map<string, Known>();
  const pending = new Map<string, Promise<PieceWaits>>();

  function note(question: WaitsQuestion, waits: PieceWaits): void {
    known.set(formatKey(question), { waits, at: clock.now() });
  }

  function findYoung(key: string, lifetime?: Millis): PieceWaits | undefined {
    const last = known.get(key);
    if (last === undefined) return undefined;
    const { waits, at } = last;
    const isLoaded = waits.late >= LOADED_WAIT;
    const limit = lifetime ?? (isLoaded ? LOADED_LIFETIME : CALM_LIFETIME);
    return clock.now() - at <= limit ? waits : undefined;
  }

  async function askAnew(question: WaitsQuestion): Promise<PieceWaits> {
    const waits = await ask(question);
    const key = formatKey(question);
    pending.delete(key);
    if (waits === undefined) {
      return findYoung(key, LONGEST_LIFETIME) ?? NO_WAITS;
    }
    note(question, waits);
    return waits;
  }

  function read(question: WaitsQuestion): Promise<PieceWaits> {
    const key = formatKey(question);
    const young = findYoung(key);
    if (young !== undefined) return Promise.resolve(young);
    const asked = pending.get(key) ?? askAnew(question);
    pending.set(key, asked);
    return asked;
  }

  return {
    note,
    read,
    peek: (question) => findYoung(formatKey(question), LONGEST_LIFETIME),
  };
}

function formatKey({ pool, partition, priority }: WaitsQuestion): string {
  return `${pool}/${partition}/${priority}`;
}
