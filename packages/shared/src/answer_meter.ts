/**
 * Counts what answers cost and which of them exceed a limit.
 *
 * @module
 */
import type { AnswerLimit } from "./answers/answer_framing.ts";
import type { Clock, Millis } from "./clock.ts";
import { createLineLimiter } from "./line_limiter.ts";
import type { Logger } from "./logger.ts";

/** What is counted. */
export type AnswerCost =
  /** Bytes received. */
  | "bytes"
  /** Those of them that are no data of a body. */
  | "framing"
  /** Reads, each of which passes through all layers. */
  | "reads";

/** Counts the cost of the answers on one connection. */
export interface AnswerCosts {
  add(cost: AnswerCost, count: number): void;
  /** Records that the answer is given up at a limit. */
  exceed(limit: AnswerLimit): void;
  /** Logs an answer that cost more than its data; what follows is another's. */
  endAnswer(): void;
}

/** Counts the costs of all answers. */
export interface AnswerMeter {
  /** Costs so far. */
  readonly totals: ReadonlyMap<AnswerCost, number>;
  /** Answers so far that were given up at each limit. */
  readonly exceeded: ReadonlyMap<AnswerLimit, number>;
  /** Opens the account of a connection to `ip:port`. */
  open(address: string): AnswerCosts;
}

/** Answers of more reads or framing are logged. */
const MANY_READS = 4_096;
const MUCH_FRAMING = 1_048_576;

/** Creates the meter of one process. */
export function createAnswerMeter(
  { clock, logger }: { clock: Clock; logger: Logger },
): AnswerMeter {
  const totals = new Map<AnswerCost, number>();
  const exceeded = new Map<AnswerLimit, number>();
  const lines = createLineLimiter<"costly">(clock);

  function open(address: string): AnswerCosts {
    /** Of an answer after the first: when its first bytes came. */
    let startedAt: Millis | undefined = clock.now();
    let own = { bytes: 0, framing: 0, reads: 0 };
    let limit: AnswerLimit | undefined;

    function isCostly(): boolean {
      return limit !== undefined || own.reads > MANY_READS ||
        own.framing > MUCH_FRAMING;
    }

    function endAnswer(): void {
      for (const cost of ["bytes", "framing", "reads"] as const) {
        totals.set(cost, (totals.get(cost) ?? 0) + own[cost]);
      }
      const count = isCostly() ? lines.record("costly") : undefined;
      if (count !== undefined) {
        const took = Math.round(clock.now() - (startedAt ?? clock.now()));
        logger.warn("answer_costly", { count, address, took, ...own, limit });
      }
      startedAt = undefined;
      own = { bytes: 0, framing: 0, reads: 0 };
      limit = undefined;
    }

    return {
      add(cost, count) {
        startedAt ??= clock.now();
        own[cost] += count;
      },
      exceed(kind) {
        limit = kind;
        exceeded.set(kind, (exceeded.get(kind) ?? 0) + 1);
      },
      endAnswer,
    };
  }

  return { totals, exceeded, open };
}
