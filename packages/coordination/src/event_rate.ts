/**
 * How often something happens at present: events a second, over about a second.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A rate that forgets. */
export interface EventRate {
  record(): void;
  /** Events a second. */
  read(): number;
}

const TIME_CONSTANT: Millis = 1_000;

/** Creates a rate of zero. */
export function createEventRate(clock: Clock): EventRate {
  let value = 0;
  let at = clock.now();

  function read(): number {
    const now = clock.now();
    value *= Math.exp((at - now) / TIME_CONSTANT);
    at = now;
    return value;
  }

  return {
    record() {
      value = read() + 1_000 / TIME_CONSTANT;
    },
    read,
  };
}
