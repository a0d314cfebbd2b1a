/**
 * Seeds that failed once, with the cause; all are run again with `--kept`.
 *
 * @module
 */

/** A seed that failed once. */
export interface KeptSeed {
  seed: number;
  cause: string;
}

/** All seeds that ever failed. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  {
    seed: 1000,
    cause:
      "an entry's port was taken by an outgoing connection while it was down",
  },
  {
    seed: 1007,
    cause: "the proxy sent held bytes behind later ones",
  },
  {
    seed: 1026,
    cause: "the proxy went on behind lost bytes, and sent held ones late",
  },
];
