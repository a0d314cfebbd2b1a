/**
 * One run of the stop soak: entries are told to stop, in series that overlap,
 * while callers go on sending long streams to all of them.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { MersenneTwister19937, Random } from "random-js";
import type { ObservedRequest, StopRoute } from "./stop_callers.ts";
import { createStopCaller } from "./stop_callers.ts";
import type { StopTotals } from "./stop_checks.ts";
import { countStopped, listStopViolations } from "./stop_checks.ts";
import { computePlanLength, createStopPlan } from "./stop_plan.ts";
import { startStopSite } from "./stop_site.ts";

/** Options of {@linkcode runStopSoak}. */
export interface StopSoakOptions {
  seed: number;
  /** Directory for the settings and logs of the entries. */
  folder: string;
  /** The number of entries; by default the seed draws it. */
  entries?: number;
}

/** Result of one run. */
export interface StopSoakResult extends StopTotals {
  seed: number;
  requests: number;
  served: number;
  violations: string[];
}

const ROUTES: readonly StopRoute[] = ["talk", "talk", "talk", "staged", "job"];
/** Entries learn how long answers take, and of each other. */
const WARM_UP_MS = 6_000;
/** Time after the last stop in which requests are still sent. */
const AFTERWARDS_MS = 2_000;
const REQUEST_GAP_MS = { min: 200, max: 700 };
const EVENTS = { mean: 50, max: 190 };
const MAX_BODY_DELAY_MS = 1_500;
/** Share of the requests whose body comes later than their head. */
const SLOW_BODY_SHARE = 0.05;

/** Runs one seed to completion. */
export async function runStopSoak(
  { seed, folder, entries }: StopSoakOptions,
): Promise<StopSoakResult> {
  const plan = createStopPlan(
    seed,
    entries === undefined ? {} : { entries },
  );
  const random = new Random(MersenneTwister19937.seed(seed + 1));
  const site = await startStopSite(plan, folder);
  const requests: ObservedRequest[] = [];
  let requestCount = 0;
  let isDone = false;

  /** Draws a length; few streams are long. */
  function computeEvents(): number {
    const drawn = -EVENTS.mean * Math.log(1 - random.realZeroToOneExclusive());
    return Math.max(1, Math.min(EVENTS.max, Math.round(drawn)));
  }

  async function runCaller(): Promise<void> {
    const caller = createStopCaller();
    const pending: Promise<unknown>[] = [];
    while (!isDone) {
      const sent = caller.send({
        id: `${seed}-${requestCount++}`,
        route: random.pick([...ROUTES]),
        entry: random.pick([...site.callerAddresses]),
        events: computeEvents(),
        bodyDelay: random.bool(SLOW_BODY_SHARE)
          ? random.integer(0, MAX_BODY_DELAY_MS)
          : 0,
      });
      pending.push(sent.then((request) => requests.push(request)));
      await sleep(random.integer(REQUEST_GAP_MS.min, REQUEST_GAP_MS.max));
    }
    await Promise.all(pending);
    caller.close();
  }

  try {
    const callers = Array.from({ length: plan.callers }, runCaller);
    await sleep(WARM_UP_MS);
    await Promise.all([
      ...plan.stops.map(async (stop) => {
        await sleep(stop.at);
        await site.runStop(stop);
      }),
      ...plan.changes.map(async (change) => {
        await sleep(change.at);
        site.applyChange(change);
      }),
      sleep(computePlanLength(plan)),
    ]);
    await sleep(AFTERWARDS_MS);
    isDone = true;
    await Promise.all(callers);
  } finally {
    site.close();
  }
  const observations = {
    requests,
    runs: site.runs,
    stops: site.stops,
    stopTime: 1_000 * plan.stopS,
    eventGap: plan.eventGap,
  };
  return {
    seed,
    requests: requests.length,
    served:
      requests.filter(({ status, end }) => status === 200 && end === "complete")
        .length,
    ...countStopped(observations),
    violations: [...listStopViolations(observations), ...site.ownEnds],
  };
}
