/**
 * Draws requests from a seeded generator, so that a run can be repeated.
 *
 * @module
 */
import { MersenneTwister19937, Random } from "random-js";
import type { PlannedRequest } from "./caller_load.ts";
import type { WorkPlan } from "./site_plan.ts";

/** Draws work in the proportions of a plan. */
export interface RandomLoad {
  readonly random: Random;
  /** The next request; labels are unique within the load. */
  draw(work?: readonly WorkPlan[]): PlannedRequest;
  /** Time to the next arrival at a rate, exponentially distributed. */
  drawGap(perSecond: number): number;
}

/** A UUIDv7 (RFC 9562) of the present time. */
function createDatedId(random: Random): string {
  const time = Date.now().toString(16).padStart(12, "0");
  const rest = random.hex(18);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${rest.slice(0, 3)}-8${
    rest.slice(3, 6)
  }-${rest.slice(6)}`;
}

const WORDS = ["case", "claim", "gear", "heat", "meter", "notice", "torque"];
const MIN_LENGTH = 20;

/** Creates a load from a seed. */
export function createRandomLoad(
  plan: readonly WorkPlan[],
  seed: number,
): RandomLoad {
  const random = new Random(MersenneTwister19937.seed(seed));
  let count = 0;

  function drawWork(work: readonly WorkPlan[]): WorkPlan {
    const total = work.reduce((sum, { share }) => sum + share, 0);
    let left = random.real(0, total);
    for (const one of work) {
      left -= one.share;
      if (left <= 0) return one;
    }
    return work.at(-1)!;
  }

  function draw(work: readonly WorkPlan[] = plan): PlannedRequest {
    const chosen = drawWork(work);
    const label = chosen.isDated
      ? createDatedId(random)
      : `r${seed}.${count++}`;
    const length = Math.max(
      MIN_LENGTH,
      Math.round(-Math.log(1 - random.real(0, 0.999)) * chosen.meanLength),
    );
    const word = random.pick(WORDS);
    const text = `${label} ${word} `.padEnd(length, `${word} `);
    return { work: chosen, label, text };
  }

  return {
    random,
    draw,
    drawGap: (perSecond) =>
      -Math.log(1 - random.real(0, 1)) * 1_000 / perSecond,
  };
}
