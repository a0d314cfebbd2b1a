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

/** Options of {@linkcode refreshFromPeer}. */
export interface PeerConfigOptions {
  random: () => number;
  /** Control addresses of peers that have a newer one. */
  listNewerPeers: () => readonly string[];
  /** A peer's configuration as it was published; undefined without an answer. */
  fetch: (address: string) => Promise<string | undefined>;
  /** Takes a published configuration; versions only rise. */
  apply: (value: string) => void;
}

/** Asks one of them, drawn at random: a silent one is not asked each time. */
export async function refreshFromPeer(
  { random, listNewerPeers, fetch, apply }: PeerConfigOptions,
): Promise<void> {
  const newerPeers = listNewerPeers();
  const address = newerPeers[Math.floor(random() * newerPeers.length)];
  const value = address === undefined ? undefined : await fetch(address);
  if (value !== undefined) apply(value);
}
