/**
 * The state of a running request: its identity and deadline, whether it may have
 * executed, and its cost.
 *
 * @module
 */
import type { Deadline, Verdict, WorkClass } from "@mangoreach/coordination";
import { combineVerdicts } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";

/** Time that an endpoint spent on a request. */
export interface StageCost {
  pool: string;
  duration: Millis;
}

/** The state of a running request. */
export interface RequestRun {
  readonly account: string;
  /** The id as the caller knows it. */
  readonly id: string;
  /** Client account and id, as sent to endpoints. */
  readonly wireId: string;
  readonly workClass: WorkClass;
  readonly deadline: Deadline;
  readonly isIdempotent: boolean;
  /** Whether any call sent by this entry may have executed. */
  readonly verdict: Verdict;
  /** Costs of the successful attempts. */
  readonly costs: StageCost[];
  /** Combines a verdict into the request's; it only becomes weaker. */
  recordVerdict(verdict: Verdict): void;
}

/** Options of {@linkcode createRequestRun}. */
export type RequestRunOptions = Pick<
  RequestRun,
  "account" | "id" | "workClass" | "deadline" | "isIdempotent"
>;

/** Creates the state of a request that has not executed anything. */
export function createRequestRun(options: RequestRunOptions): RequestRun {
  let verdict: Verdict = "not_run";
  return {
    ...options,
    wireId: `${options.account}/${options.id}`,
    get verdict() {
      return verdict;
    },
    costs: [],
    recordVerdict(next) {
      verdict = combineVerdicts(verdict, next);
    },
  };
}
