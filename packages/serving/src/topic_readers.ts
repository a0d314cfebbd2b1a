/**
 * Which entries read the platform's store for the others.
 *
 * @module
 */
import type { Membership, PeerRecord } from "@mangoreach/coordination";
import { listByRendezvous, listStrong } from "@mangoreach/coordination";

/**
 * One reader for so many entries: its answers cost it about two messages a
 * second for each, a fiftieth of the smallest core for all. When the only reader
 * of a small site ends, its entries ask the store themselves until they know
 * another: some forty calls a second of the two thousand that it takes.
 */
const ENTRIES_A_READER = 8;

/**
 * Control addresses of the readers, in the order in which this entry asks them;
 * none if it is a reader itself. Where entries disagree for a moment on who
 * lives, one reads the store that need not, and nothing breaks.
 */
export function listTopicReaders(
  { self, list }: Pick<Membership, "self" | "list">,
): string[] {
  const others = list()
    .filter(({ health, record }) =>
      health === "alive" && record.state === "live"
    )
    .map(({ record }) => record);
  const members: PeerRecord[] = [self, ...others];
  const readName = ({ entry }: PeerRecord) => entry;
  const count = Math.ceil(members.length / ENTRIES_A_READER);
  const strong = listStrong(members, ({ capacity }) => capacity);
  const readers = listByRendezvous(strong, { key: "readers", readName })
    .slice(0, count);
  if (readers.some(({ entry }) => entry === self.entry)) return [];
  return listByRendezvous(readers, { key: self.entry, readName })
    .map(({ controlAddress }) => controlAddress);
}
