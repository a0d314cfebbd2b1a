/**
 * One request while it runs: its identity, its deadline, what it may have
 * executed, and what it cost.
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

/** One request while it runs. */
export interface RequestRun {
  readonly account: string;
  /** As the caller chose it. */
  readonly id: string;
  /** Client account and id, as endpoints see it. */
  readonly wireId: string;
  readonly workClass: WorkClass;
  readonly deadline: Deadline;
  readonly isIdempotent: boolean;
  /** Whether any call that left this entry may have executed. */
  readonly verdict: Verdict;
  /** Costs of the attempts whose results were used. */
  readonly costs: StageCost[];
  /** Makes the verdict weaker, never stronger. */
  recordVerdict(verdict: Verdict): void;
}

/** Options of {@linkcode createRequestRun}. */
export type RequestRunOptions = Pick<
  RequestRun,
  "account" | "id" | "workClass" | "deadline" | "isIdempotent"
>;

/** Creates a run that has executed nothing. */
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
