/**
 * Samples requests from a seeded generator, so that a run can be repeated.
 *
 * @module
 */
import { MersenneTwister19937, Random } from "random-js";
import type { PlannedRequest } from "./caller_load.ts";
import type { WorkPlan } from "./site_plan.ts";

/** Samples requests in the proportions of a plan. */
export interface RandomLoad {
  readonly random: Random;
  /** Samples the next request; labels are unique within the load. */
  sample(work?: readonly WorkPlan[]): PlannedRequest;
  /** Samples the exponentially distributed time to the next arrival at a rate. */
  sampleGap(perSecond: number): number;
}

/** Creates a UUIDv7 (RFC 9562) with the current time. */
function createUuidV7(random: Random): string {
  const time = Date.now().toString(16).padStart(12, "0");
  const rest = random.hex(18);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${rest.slice(0, 3)}-8${
    rest.slice(3, 6)
  }-${rest.slice(6)}`;
}

const WORDS = ["case", "claim", "gear", "heat", "meter", "notice", "torque"];
const MIN_LENGTH = 20;

/** Creates a load generator from a seed. */
export function createRandomLoad(
  plan: readonly WorkPlan[],
  seed: number,
): RandomLoad {
  const random = new Random(MersenneTwister19937.seed(seed));
  let count = 0;

  function sampleWork(work: readonly WorkPlan[]): WorkPlan {
    const total = work.reduce((sum, { share }) => sum + share, 0);
    let remaining = random.real(0, total);
    for (const one of work) {
      remaining -= one.share;
      if (remaining <= 0) return one;
    }
    return work.at(-1)!;
  }

  function sample(work: readonly WorkPlan[] = plan): PlannedRequest {
    const selected = sampleWork(work);
    const label = selected.isDated
      ? createUuidV7(random)
      : `r${seed}.${count++}`;
    const length = Math.max(
      MIN_LENGTH,
      Math.round(-Math.log(1 - random.real(0, 0.999)) * selected.meanLength),
    );
    const word = random.pick(WORDS);
    const text = `${label} ${word} `.padEnd(length, `${word} `);
    return { work: selected, label, text };
  }

  return {
    random,
    sample,
    sampleGap: (perSecond) =>
      -Math.log(1 - random.real(0, 1)) * 1_000 / perSecond,
  };
}
