/**
 * Logs and counts answers that were refused because they are malformed.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { createLineLimiter } from "./line_limiter.ts";
import type { Logger } from "./logger.ts";

/** What sent an answer. */
export type AnswerSource =
  /** An endpoint, to a request or to a call of a stage. */
  | "endpoint"
  /** An endpoint, to the release of results. */
  | "release"
  | "store";

/** A malformed answer. */
export interface MalformedAnswer {
  /** `ip:port`. */
  address: string;
  reason: string;
}

/** Records malformed answers. */
export interface AnswerRecorder {
  record(source: AnswerSource, answer: MalformedAnswer): void;
  /** Answers so far by source. */
  readonly counts: ReadonlyMap<AnswerSource, number>;
}

/** Creates the recorder of one process. */
export function createAnswerRecorder(
  { clock, logger }: { clock: Clock; logger: Logger },
): AnswerRecorder {
  const lines = createLineLimiter<AnswerSource>(clock);

  return {
    counts: lines.counts,
    record(source, { address, reason }) {
      const count = lines.record(source);
      if (count === undefined) return;
      logger.warn("answer_malformed", { source, count, address, reason });
    },
  };
}
