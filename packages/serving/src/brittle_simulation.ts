/**
 * Simulates endpoints with limited room that are brittle for a while: fewer
 * requests may wait, and one that rejects too many within a second falls over.
 *
 * @module
 */
import type { EndpointSignals, LoadReport } from "@mangoreach/coordination";
import type { FakeClock, HttpFault, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { EndpointAnswer } from "./platform_interfaces.ts";
import { createTestReply } from "./test_support.ts";

/** The period in which endpoints are brittle. */
export interface BrittlePeriod {
  from: Millis;
  until: Millis;
  /** Rejections within a second above which an endpoint falls over. */
  rejectLimit: number;
  /** Whether their answers say so. */
  isAnnounced: boolean;
}

/** Options of {@linkcode createBrittleEndpoint}. */
export interface BrittleEndpointOptions {
  clock: FakeClock;
  slots: number;
  workTime: Millis;
  period: BrittlePeriod;
}

/** One simulated endpoint. */
export interface BrittleEndpoint {
  call(): Promise<Result<EndpointAnswer, HttpFault>>;
  /** When it fell over. */
  readonly fallenAt: readonly Millis[];
}

/** Time from the begin of the period until fewer requests may wait. */
export const BRITTLE_SETTLE: Millis = 3_000;
const SECOND: Millis = 1_000;
const RESTART_TIME: Millis = 3_000;
const ROUND_TRIP: Millis = 2;
/** Requests that may wait, in multiples of the slots. */
const QUEUE_FACTOR = 4;
/** Requests that may wait while it is brittle. */
const BRITTLE_QUEUE = 1;

/** Creates an idle endpoint. */
export function createBrittleEndpoint(
  { clock, slots, workTime, period }: BrittleEndpointOptions,
): BrittleEndpoint {
  const fallenAt: Millis[] = [];
  let rejectedAt: Millis[] = [];
  let running = 0;
  let waiting: (() => void)[] = [];
  let incarnation = 0;
  let downUntil = -Infinity;

  function isBrittle(delay: Millis = 0): boolean {
    const now = clock.now();
    return now >= period.from + delay && now < period.until;
  }

  function readSignals(): EndpointSignals {
    return isBrittle() && period.isAnnounced
      ? { rejectLimit: period.rejectLimit }
      : {};
  }

  function readLoad(): LoadReport {
    const queued = waiting.length;
    return { running, queued, slots, takenAt: clock.now() };
  }

  function reject(): Result<EndpointAnswer, HttpFault> {
    const now = clock.now();
    rejectedAt = [...rejectedAt.filter((at) => now - at < SECOND), now];
    const { rejectLimit } = period;
    if (isBrittle(BRITTLE_SETTLE) && rejectedAt.length > rejectLimit) {
      fallenAt.push(now);
      downUntil = now + RESTART_TIME;
      incarnation++;
      running = 0;
      waiting.forEach((start) => start());
      waiting = [];
      rejectedAt = [];
    }
    return Result.ok({
      kind: "not_run",
      reason: "full",
      load: readLoad(),
      signals: readSignals(),
    });
  }

  async function call(): Promise<Result<EndpointAnswer, HttpFault>> {
    await clock.sleep(ROUND_TRIP);
    if (clock.now() < downUntil) return fail("unreachable");
    const started = incarnation;
    const queue = isBrittle(BRITTLE_SETTLE)
      ? BRITTLE_QUEUE
      : QUEUE_FACTOR * slots;
    if (running >= slots) {
      if (waiting.length >= queue) return reject();
      await new Promise<void>((resolve) => waiting.push(resolve));
      if (started !== incarnation) return fail("cut");
    } else running++;
    await clock.sleep(workTime);
    if (started !== incarnation) return fail("cut");
    const next = waiting.shift();
    if (next === undefined) running--;
    else next();
    return Result.ok({
      ...createTestReply(["x"]),
      load: readLoad(),
      signals: readSignals(),
    });
  }

  return { call, fallenAt };
}

function fail(
  kind: "unreachable" | "cut",
): Result<EndpointAnswer, HttpFault> {
  const sent = kind === "cut" ? "maybe" : "no";
  return Result.err({ kind, sent, message: kind });
}
