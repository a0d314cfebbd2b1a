/**
 * A hybrid logical clock, so that events of processes whose wall clocks differ
 * can be merged in causal order. Source: Kulkarni and others, "Logical Physical
 * Clocks", 2014.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";

/** A point in causal order: milliseconds and a counter that breaks ties. */
export interface CausalTime {
  millis: Millis;
  counter: number;
}

/** Assigns each event a time later than all times that the process has seen. */
export interface CausalClock {
  /** The time of a local event or of a message about to be sent. */
  tick(): CausalTime;
  /** Merges the time of a received message; malformed text is ignored. */
  observe(text: string | undefined): void;
}

/**
 * Times further ahead than this are ignored. Otherwise one wrong wall clock
 * would set the causal clocks of all processes of the site ahead.
 */
const MAX_AHEAD: Millis = 60_000;
const TIME_PATTERN = /^(\d{1,15})\.(\d{1,9})$/;

/** Creates the causal clock of one process. */
export function createCausalClock(clock: Clock): CausalClock {
  let last: CausalTime = { millis: 0, counter: 0 };

  function tick(): CausalTime {
    const now = Math.floor(clock.now());
    last = now > last.millis
      ? { millis: now, counter: 0 }
      : { millis: last.millis, counter: last.counter + 1 };
    return last;
  }

  function observe(text: string | undefined): void {
    const seen = text === undefined ? undefined : parseCausalTime(text);
    if (seen === undefined || seen.millis > clock.now() + MAX_AHEAD) return;
    if (compareCausalTimes(seen, last) > 0) last = seen;
  }

  return { tick, observe };
}

/** Orders two causal times as `Array.prototype.sort` expects. */
export function compareCausalTimes(a: CausalTime, b: CausalTime): number {
  return a.millis - b.millis || a.counter - b.counter;
}

/** Formats a causal time for a header. */
export function formatCausalTime(time: CausalTime): string {
  return `${time.millis}.${time.counter}`;
}

/** Parses the text that {@linkcode formatCausalTime} returns. */
export function parseCausalTime(text: string): CausalTime | undefined {
  const match = TIME_PATTERN.exec(text);
  if (match === null) return undefined;
  return { millis: Number(match[1]), counter: Number(match[2]) };
}
