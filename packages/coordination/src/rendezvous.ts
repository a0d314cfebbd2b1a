/**
 * Rendezvous hashing: every process ranks the same members for a key in the
 * same order without coordination, and adding or removing a member moves only
 * the keys of that member.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes text to 32 bits: FNV-1a with the finalizer of MurmurHash3. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV alone gives similar names similar hashes, so their ranks would
  // correlate.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Lists the members of a place first, as traffic between places has a cost. */
export function listLocalFirst<T extends { place: string }>(
  members: readonly T[],
  localPlace: string,
): T[] {
  const isLocal = ({ place }: T) => place === localPlace;
  return [
    ...members.filter(isLocal),
    ...members.filter((member) => !isLocal(member)),
  ];
}

/** Ranks members for a key, highest rank first. */
export function listByRendezvous<T>(
  members: readonly T[],
  { key, readName }: { key: string; readName: (member: T) => string },
): T[] {
  return members
    .map((member) => ({
      member,
      rank: computeHash(`${key}/${readName(member)}`),
    }))
    .sort((a, b) => b.rank - a.rank)
    .map(({ member }) => member);
}
