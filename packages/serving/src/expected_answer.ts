/**
 * What a request's head and earlier answers tell of its answer.
 *
 * @module
 */
import type { ExpectedAnswer, PromptPart } from "@mangoreach/coordination";
import type { RequestHead } from "./platform_interfaces.ts";
import type { AdmittedRoute } from "./request_admission.ts";
import type { ServingState } from "./serving_state.ts";

/** Returns the size of a request in prompt tokens, at least 1. */
export function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 1);
}

/** Returns what is known of an answer before its request is sent. */
export function readExpectedAnswer(
  { findDelays }: Pick<ServingState, "findDelays">,
  { head, admitted }: {
    head: RequestHead;
    admitted: Pick<AdmittedRoute, "route" | "pool">;
  },
): ExpectedAnswer {
  const { route, pool } = admitted;
  return {
    firstAfter: findDelays(pool).estimateUsual(sumTokens(head.promptParts)),
    tokens: route.kind === "stream" ? head.outputTokens : 0,
  };
}
