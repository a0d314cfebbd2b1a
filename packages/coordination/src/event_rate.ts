/**
 * Tracks the current rate of an event in events per second, over about a second
 * or another time constant.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** A rate with exponential decay. */
export interface EventRate {
  /** Records one event, or `count` events. */
  record(count?: number): void;
  /** Returns the events per second. */
  read(): number;
}

const TIME_CONSTANT: Millis = 1_000;

/** Creates a rate of zero that decays with `timeConstant`. */
export function createEventRate(
  clock: Clock,
  timeConstant: Millis = TIME_CONSTANT,
): EventRate {
  let value = 0;
  let updatedAt = clock.now();

  function read(): number {
    const now = clock.now();
    value *= Math.exp((updatedAt - now) / timeConstant);
    updatedAt = now;
    return value;
  }

  return {
    record(count = 1) {
      value = read() + count * 1_000 / timeConstant;
    },
    read,
  };
}
