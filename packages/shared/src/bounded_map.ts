/**
 * Maps of bounded size, which evict the entry that was inserted first.
 *
 * @module
 */

/** Sets an entry; above `maxSize` entries, evicts the one inserted first. */
export function putBounded<K, V>(
  map: Map<K, V>,
  [key, value]: readonly [key: K, value: V],
  maxSize: number,
): void {
  map.set(key, value);
  if (map.size <= maxSize) return;
  const [first] = map.keys();
  map.delete(first as K);
}
