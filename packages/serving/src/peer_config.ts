/**
 * Fetches the configuration from a peer that has a newer one in force.
 *
 * Without it, an entry would refuse all requests with keys in two cases:
 * entries start after the store was restored from an older copy and nobody
 * writes the newest configuration again, or an entry cannot read
 * configurations.
 *
 * @module
 */

/** Options of {@linkcode refreshFromPeer}. */
export interface PeerConfigOptions {
  random: () => number;
  /** Lists control addresses of peers that have a newer configuration. */
  listNewerPeers: () => readonly string[];
  /**
   * Resolves to a peer's configuration as it was published, or to undefined if
   * the peer does not answer.
   */
  fetch: (address: string) => Promise<string | undefined>;
  /** Applies a published configuration; an older version is ignored. */
  apply: (value: string) => void;
}

/**
 * Fetches from one of the peers, chosen at random, so that an unresponsive one
 * is not asked each time.
 */
export async function refreshFromPeer(
  { random, listNewerPeers, fetch, apply }: PeerConfigOptions,
): Promise<void> {
  const newerPeers = listNewerPeers();
  const address = newerPeers[Math.floor(random() * newerPeers.length)];
  const value = address === undefined ? undefined : await fetch(address);
  if (value !== undefined) apply(value);
}
