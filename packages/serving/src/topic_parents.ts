/**
 * Chooses which entries read the platform's store, and which entries all others
 * read from instead.
 *
 * Hundreds of entries may start together, or wait together on a slow store.
 * With a relay tree, the number of calls to the store depends only on the
 * number of readers, and the requests to one entry only on the number of its
 * children, however many entries there are.
 *
 * @module
 */
import type { Membership, PeerRecord } from "@mangoreach/coordination";
import {
  listByRendezvous,
  listHighCapacity,
  listLocalFirst,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";

/** The entries from which one entry reads the store's topics. */
export interface TopicParents {
  /**
   * Whether this entry reads the store itself, and others only if that fails.
   */
  isReader: boolean;
  /** Control addresses of the entries to read from, in order of preference. */
  addresses: readonly string[];
  /** Pause between two reads from the store while no other entry is usable. */
  storePause: Millis;
  /** Control addresses of all other entries that are not leaving. */
  listOthers: () => readonly string[];
}

/**
 * With three readers, one may be frozen and one disconnected from the store,
 * and changes still reach all entries in time. One reader is enough for a small
 * site: if it stops, the entries read the store themselves, which makes about
 * 40 calls a second of the 2,000 that the store handles.
 */
const MAX_READERS = 3;
const ENTRIES_PER_READER = 16;
/**
 * Entries that read from one relay. Each costs it about three short messages a
 * second; all of them together take 5 % of the smallest core.
 */
const ENTRIES_PER_RELAY = 12;
/**
 * Reads from the store, per second and topic, by all entries that have no
 * usable parent. It is a hundredth of what the store handles, so that an outage
 * of all relays does not overload the store.
 */
const FALLBACK_READS_PER_SECOND = 40;

/**
 * Chooses where this entry reads. Entries may briefly disagree on which peers
 * are alive; they then read from another entry or from the store, which is
 * harmless.
 */
export function chooseTopicParents(
  { self, list }: Pick<Membership, "self" | "list">,
): TopicParents {
  const others = list()
    .filter(({ health, record }) =>
      health !== "lost" && record.state !== "leaving"
    )
    .map(({ record }) => record);
  const members: PeerRecord[] = [self, ...others];
  const ranked = rankEntries(
    listHighCapacity(members, ({ capacity }) => capacity),
    "readers",
  );
  const readerCount = Math.min(
    MAX_READERS,
    Math.ceil(members.length / ENTRIES_PER_READER),
  );
  const relayCount = Math.max(
    readerCount,
    Math.ceil(members.length / ENTRIES_PER_RELAY),
  );
  const position = ranked.findIndex(({ entry }) => entry === self.entry);
  const relays = ranked.slice(0, relayCount);
  const isReader = position >= 0 && position < readerCount;
  const isRelay = position >= 0 && position < relayCount;
  return {
    isReader,
    addresses: listParents().map(({ controlAddress }) => controlAddress),
    storePause: isRelay
      ? 0
      : 1_000 * members.length / FALLBACK_READS_PER_SECOND,
    listOthers: () => others.map(({ controlAddress }) => controlAddress),
  };

  function listParents(): PeerRecord[] {
    if (isReader) return relays.filter(({ entry }) => entry !== self.entry);
    if (!isRelay) {
      return listLocalFirst(rankEntries(relays, self.entry), self.place);
    }
    // A relay reads only from entries ranked before it: two relays that waited
    // for each other would both go stale.
    return [
      ...rankEntries(ranked.slice(0, readerCount), self.entry),
      ...ranked.slice(readerCount, position),
    ];
  }
}

function rankEntries(
  records: readonly PeerRecord[],
  key: string,
): PeerRecord[] {
  return listByRendezvous(records, { key, readName: ({ entry }) => entry });
}
