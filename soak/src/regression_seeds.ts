/**
 * Seeds of runs that failed, with the cause; `--kept` runs all of them again.
 *
 * @module
 */
import type { FaultKindSet } from "./soak_plan.ts";

/** A seed of a run that failed. */
export interface RegressionSeed {
  seed: number;
  /** The fault kinds that existed when it failed. */
  kinds: FaultKindSet;
  cause: string;
}

/** All seeds whose run has failed. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 1000,
    kinds: "first",
    cause:
      "an outgoing connection used an entry's port while the entry was down",
  },
  {
    seed: 1007,
    kinds: "first",
    cause: "the proxy sent delayed bytes after later ones",
  },
  {
    seed: 1026,
    kinds: "first",
    cause:
      "the proxy forwarded bytes after dropped ones, and sent delayed ones late",
  },
  {
    seed: 5001,
    kinds: "second",
    cause:
      "two faults on one endpoint overlapped: the soak test left a server open and did not exit",
  },
  {
    seed: 5100,
    kinds: "second",
    cause:
      "pieces were sent to a stage endpoint whose address another endpoint had reused, until its removal was accepted",
  },
  {
    seed: 910009,
    kinds: "second",
    cause:
      "a fault of the check: an endpoint that was leaving crashed and restarted under its id, and was treated as having left",
  },
  {
    seed: 910012,
    kinds: "second",
    cause: "the same as seed 910009, with an engine",
  },
  {
    seed: 960_005,
    kinds: "third",
    cause:
      "an entry that could reach neither the store nor another entry for three " +
      "seconds did not learn that the only engine was cold",
  },
  {
    seed: 960_033,
    kinds: "third",
    cause: "the store's operator rewrote an old configuration over a newer one",
  },
  {
    seed: 510_003,
    kinds: "paths",
    cause:
      "a fault of the check: an endpoint announced its leaving while the store " +
      "failed and lost it, and the store was silent soon after",
  },
];
