/**
 * Random sampling.
 *
 * @module
 */

/** Samples items of a list uniformly, without replacement. */
export function sampleItems<T>(
  from: readonly T[],
  { count, random }: { count: number; random: () => number },
): T[] {
  const left = [...from];
  const sample: T[] = [];
  while (sample.length < count && left.length > 0) {
    const at = Math.floor(random() * left.length);
    const [chosen] = left.splice(at, 1);
    if (chosen !== undefined) sample.push(chosen);
  }
  return sample;
}
