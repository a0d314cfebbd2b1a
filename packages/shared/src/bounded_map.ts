/**
 * Maps that drop what was put in first, so that they do not grow for ever.
 *
 * @module
 */

/** Puts an entry; above `most` the one that was put in first is dropped. */
export function putBounded<K, V>(
  map: Map<K, V>,
  [key, value]: readonly [key: K, value: V],
  most: number,
): void {
  map.set(key, value);
  if (map.size <= most) return;
  const [first] = map.keys();
  map.delete(first as K);
}
