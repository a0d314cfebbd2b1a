/**
 * Counts what answers cost: the bytes received, and the parts of bodies that the
 * HTTP parser passes on, each of which is an object and a pass through all
 * layers.
 *
 * @module
 */
import type { Clock, Millis } from "./clock.ts";
import { createLineLimiter } from "./line_limiter.ts";
import type { Logger } from "./logger.ts";

/** What is counted. */
export type AnswerCost =
  /** Bytes received, with their framing. */
  | "bytes"
  /** Parts of bodies. */
  | "parts"
  /** Parts after the end of their answer. */
  | "late_parts";

/** Counts the cost of one answer. */
export interface AnswerCosts {
  add(cost: AnswerCost, count: number): void;
  /** Logs an answer that cost more than its bytes. */
  close(): void;
}

/** Counts the costs of all answers. */
export interface AnswerMeter {
  /** Costs so far. */
  readonly totals: ReadonlyMap<AnswerCost, number>;
  /** Opens the account of an answer from `ip:port`. */
  open(address: string): AnswerCosts;
}

/** Answers of more parts are logged. */
const MANY_PARTS = 4_096;

/** Creates the meter of one process. */
export function createAnswerMeter(
  { clock, logger }: { clock: Clock; logger: Logger },
): AnswerMeter {
  const totals = new Map<AnswerCost, number>();
  const lines = createLineLimiter<"costly">(clock);

  function open(address: string): AnswerCosts {
    const startedAt: Millis = clock.now();
    const own = { bytes: 0, parts: 0, late_parts: 0 };
    return {
      add(cost, count) {
        own[cost] += count;
        totals.set(cost, (totals.get(cost) ?? 0) + count);
      },
      close() {
        if (own.parts + own.late_parts < MANY_PARTS) return;
        const count = lines.record("costly");
        if (count === undefined) return;
        const took = Math.round(clock.now() - startedAt);
        logger.warn("answer_costly", { count, address, took, ...own });
      },
    };
  }

  return { totals, open };
}
