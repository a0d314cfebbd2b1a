/**
 * Seeds that failed once, with the cause; all are run again with `--kept`.
 *
 * @module
 */
import type { SoakKinds } from "./soak_plan.ts";

/** A seed that failed once. */
export interface KeptSeed {
  seed: number;
  /** The kinds of faults that there were when it failed. */
  kinds: SoakKinds;
  cause: string;
}

/** All seeds that ever failed. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  {
    seed: 1000,
    kinds: "first",
    cause:
      "an entry's port was taken by an outgoing connection while it was down",
  },
  {
    seed: 1007,
    kinds: "first",
    cause: "the proxy sent held bytes behind later ones",
  },
  {
    seed: 1026,
    kinds: "first",
    cause: "the proxy went on behind lost bytes, and sent held ones late",
  },
  {
    seed: 5001,
    kinds: "second",
    cause:
      "two faults on one endpoint overlapped: the soak left a server open and did not end",
  },
  {
    seed: 5100,
    kinds: "second",
    cause:
      "pieces went to a stage endpoint whose address had become another's until its removal was believed",
  },
  {
    seed: 910009,
    kinds: "second",
    cause:
      "the check's own: an endpoint that was leaving crashed and started again under its id, and counted as one that had left",
  },
  {
    seed: 910012,
    kinds: "second",
    cause: "the same, with an engine",
  },
  {
    seed: 960_005,
    kinds: "third",
    cause:
      "an entry that neither the store nor another entry reached for three " +
      "seconds did not hear that the only engine was cold",
  },
  {
    seed: 960_033,
    kinds: "third",
    cause:
      "the store's operator wrote an old configuration again over a newer one",
  },
];
