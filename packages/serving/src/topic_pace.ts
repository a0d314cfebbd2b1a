/**
 * How often each topic of the platform's store is read, and how old what an entry
 * tells of it may be.
 *
 * @module
 */
import type { TopicName } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";

/** How one topic is followed. */
export interface TopicPace {
  /** A reading of the store waits this long for a change. */
  wait: Millis;
  /** Pause between two readings of the store. */
  pause: Millis;
  /** Another entry without news answers after this. */
  relayWait: Millis;
  /** So much longer it may wait until its knowledge is confirmed anew. */
  confirmWait: Millis;
  /** Another entry that knows nothing younger is of no use. */
  maxAge: Millis;
}

/** The pace of each topic. */
export const TOPIC_PACES: Readonly<Record<TopicName, TopicPace>> = {
  /**
   * Read by long polls, so a change is known at once. The wait bounds the age of
   * keys; what is too old must be noticed within the time in which a
   * configuration has to be in force, 2 s at the least.
   */
  config: {
    wait: 600,
    pause: 50,
    relayWait: 300,
    confirmWait: 400,
    maxAge: 1_100,
  },
  /**
   * Endpoints write their heartbeats all the time; a pause gathers them. One that
   * leaves must get nothing 2 s later, also where the entry that would tell has
   * just died: it is given up 1 s after it was asked.
   */
  endpoints: {
    wait: 0,
    pause: 450,
    relayWait: 300,
    confirmWait: 400,
    maxAge: 1_200,
  },
  /** Entries come and go seldom; who lives is told by heartbeats. */
  members: {
    wait: 3_000,
    pause: 300,
    relayWait: 3_000,
    confirmWait: 0,
    maxAge: 8_000,
  },
};
