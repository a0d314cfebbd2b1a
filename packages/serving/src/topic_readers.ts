/**
 * Which entries read the platform's store, and whom all others ask instead.
 *
 * The load it answers: hundreds of entries that start together, or that a slow
 * store leaves waiting together. A tree keeps the calls to the store as many as
 * there are readers, whatever the fleet, and the questions to one entry as many
 * as there are entries beside it.
 *
 * @module
 */
import type { Membership, PeerRecord } from "@mangoreach/coordination";
import {
  listByRendezvous,
  listNearFirst,
  listStrong,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";

/** Where an entry reads the topics of the store. */
export interface TopicParents {
  /** It reads the store itself, and asks others only if that fails. */
  isReader: boolean;
  /** Control addresses of the entries to ask, in order. */
  addresses: readonly string[];
  /** Pause between two own readings of the store while no entry is of use. */
  storePause: Millis;
  /** Control addresses of all other entries that stay. */
  listOthers: () => readonly string[];
}

/**
 * One of three may be frozen and one cut off from the store, and entries still
 * hear of a change within its bound. A small site does with one: when that
 * ends, its entries ask the store themselves, some forty calls a second of the
 * two thousand that it takes.
 */
const MOST_READERS = 3;
const ENTRIES_A_READER = 16;
/**
 * Entries that one entry passes news on to: some three short messages a second for
 * each, a twentieth of the smallest core for all.
 */
const ENTRIES_A_RELAY = 12;
/**
 * Readings of the store, a second and topic, of all entries that nobody passes
 * news on to: a hundredth of what the store takes, so that an outage which
 * makes all relays useless does not become the loss of the store.
 */
const STRAY_READINGS = 40;

/**
 * Where this entry reads. Entries that disagree for a moment on who lives read
 * at another entry or at the store; nothing breaks.
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
  const ranked = listRanked(
    listStrong(members, ({ capacity }) => capacity),
    "readers",
  );
  const readerCount = Math.min(
    MOST_READERS,
    Math.ceil(members.length / ENTRIES_A_READER),
  );
  const relayCount = Math.max(
    readerCount,
    Math.ceil(members.length / ENTRIES_A_RELAY),
  );
  const position = ranked.findIndex(({ entry }) => entry === self.entry);
  const relays = ranked.slice(0, relayCount);
  const isReader = position >= 0 && position < readerCount;
  const isRelay = position >= 0 && position < relayCount;
  return {
    isReader,
    addresses: listAsked().map(({ controlAddress }) => controlAddress),
    storePause: isRelay ? 0 : 1_000 * members.length / STRAY_READINGS,
    listOthers: () => others.map(({ controlAddress }) => controlAddress),
  };

  function listAsked(): PeerRecord[] {
    if (isReader) return relays.filter(({ entry }) => entry !== self.entry);
    if (!isRelay) {
      return listNearFirst(listRanked(relays, self.entry), self.place);
    }
    // Only who comes before in the order is asked: two relays that waited for
    // each other would both grow old.
    return [
      ...listRanked(ranked.slice(0, readerCount), self.entry),
      ...ranked.slice(readerCount, position),
    ];
  }
}

function listRanked(records: readonly PeerRecord[], key: string): PeerRecord[] {
  return listByRendezvous(records, { key, readName: ({ entry }) => entry });
}
