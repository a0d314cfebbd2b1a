/**
 * How often something happens at present: events a second, over about a second
 * or another time.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A rate that forgets. */
export interface EventRate {
  /** Notes that it happened, several times if so. */
  record(count?: number): void;
  /** Events a second. */
  read(): number;
}

const TIME_CONSTANT: Millis = 1_000;

/** Creates a rate of zero that forgets over `timeConstant`. */
export function createEventRate(
  clock: Clock,
  timeConstant: Millis = TIME_CONSTANT,
): EventRate {
  let value = 0;
  let at = clock.now();

  function read(): number {
    const now = clock.now();
    value *= Math.exp((at - now) / timeConstant);
    at = now;
    return value;
  }

  return {
    record(count = 1) {
      value = read() + count * 1_000 / timeConstant;
    },
    read,
  };
}
