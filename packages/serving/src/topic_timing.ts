/**
 * How often each topic of the platform's store is polled, and how stale the
 * data that a peer returns may be.
 *
 * @module
 */
import type { TopicName } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";

/** Polling settings of one topic. */
export interface TopicTiming {
  /** Long-poll wait of a read from the store. */
  wait: Millis;
  /** Pause between two reads from the store. */
  pause: Millis;
  /** Long-poll wait of a read from another entry. */
  relayWait: Millis;
  /**
   * Extra time that the other entry may wait for its data to be confirmed
   * again.
   */
  confirmWait: Millis;
  /** Data of another entry that is older than this is not used. */
  maxAge: Millis;
}

/** The polling settings of each topic. */
export const TOPIC_TIMINGS: Readonly<Record<TopicName, TopicTiming>> = {
  /**
   * Read by long polls, so a change is known at once. The wait bounds the age
   * of keys; stale data must be detected within the time in which a
   * configuration has to be in force, which is at least 2 s.
   */
  config: {
    wait: 600,
    pause: 50,
    relayWait: 300,
    confirmWait: 400,
    maxAge: 1_100,
  },
  /**
   * Endpoints write heartbeats all the time; the pause batches them. An
   * endpoint that leaves must get no requests 2 s later, even if the parent of
   * an entry has just died: a request to the parent is therefore given up after
   * 1 s.
   */
  endpoints: {
    wait: 0,
    pause: 450,
    relayWait: 300,
    confirmWait: 400,
    maxAge: 1_200,
  },
  /**
   * Entries rarely start or stop; heartbeats between peers show which are
   * alive.
   */
  members: {
    wait: 3_000,
    pause: 300,
    relayWait: 3_000,
    confirmWait: 0,
    maxAge: 8_000,
  },
};
