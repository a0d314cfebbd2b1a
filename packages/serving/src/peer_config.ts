/**
 * Takes the configuration from a peer that has a newer one in force.
 *
 * The load it answers: entries start before a store that has come back from an
 * older copy of itself, and nobody writes the newest configuration again; or the
 * way on which an entry hears of configurations fails. It would refuse all
 * requests with keys for as long as that lasts.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode followPeerConfigs}. */
export interface PeerConfigOptions {
  clock: Clock;
  random: () => number;
  signal: AbortSignal;
  /** Whether a peer has a configuration that this entry should have by now. */
  isBehind: () => boolean;
  /** Control addresses of peers that have a newer one. */
  listAhead: () => readonly string[];
  /** A peer's configuration as it was published; undefined without an answer. */
  ask: (address: string) => Promise<string | undefined>;
  /** Takes a published configuration; versions only rise. */
  take: (value: string) => void;
}

const INTERVAL: Millis = 250;

/** Follows until the signal aborts. */
export async function followPeerConfigs(
  { clock, random, signal, isBehind, listAhead, ask, take }: PeerConfigOptions,
): Promise<void> {
  while (!signal.aborted) {
    if (isBehind()) await askOne();
    await clock.sleep(INTERVAL, signal);
  }

  /** Drawn at random: one that is silent is not asked each time. */
  async function askOne(): Promise<void> {
    const ahead = listAhead();
    const address = ahead[Math.floor(random() * ahead.length)];
    const value = address === undefined ? undefined : await ask(address);
    if (value !== undefined) take(value);
  }
}
