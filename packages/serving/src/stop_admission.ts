/**
 * Decides whether an entry that was told to stop may still send a request to an
 * endpoint: only if the whole answer reaches the caller before the entry ends.
 * Otherwise it is refused at once, while the caller has time to go elsewhere.
 *
 * @module
 */
import type {
  Deadline,
  EndpointInfo,
  Failure,
  Membership,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { readExpectedAnswer } from "./expected_answer.ts";
import type { RequestHead } from "./platform_interfaces.ts";
import type { AdmittedRoute } from "./request_admission.ts";
import type { ServingState } from "./serving_state.ts";

/** Options of {@linkcode findStopRefusal}. */
export interface StopCheckOptions {
  head: RequestHead;
  /** When the whole request had been read. */
  admittedAt: Millis;
  admitted: Pick<AdmittedRoute, "route" | "pool">;
  deadline: Deadline;
  /** Estimates the time until the request can be sent; 0 if left out. */
  estimateDelay?: () => Millis;
  /** The endpoint to which it would be sent, once that is chosen. */
  endpoint?: EndpointInfo;
}

/** How sure it must be that an answer ends in time. */
interface Caution {
  /** Share of the recent answers that would have. */
  share: number;
  /** How much slower endpoints may become while they answer. */
  slowdown: number;
}

/** A request that has just come loses nothing by going elsewhere. */
const NEW_REQUEST: Caution = { share: 1, slowdown: 1.25 };
/**
 * One that came before the signal to stop has waited, and would be late
 * elsewhere.
 */
const WAITING_REQUEST: Caution = { share: 0.8, slowdown: 1 };
/**
 * After this time, callers in touch with the platform look for other entries,
 * and what is cut off is lost.
 */
const LATE_AFTER: Millis = 2_500;
/** Time to forward the last bytes, also when short of processor time. */
const FORWARD_TIME: Millis = 150;
/** A caller that retries after this time reaches another entry. */
const RETRY_AFTER_STOPPING: Millis = 50;

/**
 * Returns the refusal of a request whose answer may not end before requests are
 * cut off; undefined before the signal to stop.
 */
export function findStopRefusal(
  state: ServingState,
  { head, admittedAt, admitted, deadline, estimateDelay = () => 0, endpoint }:
    StopCheckOptions,
): Failure | undefined {
  const { stopWindow, findCompletion } = state;
  const left = stopWindow.readTimeLeft();
  // The deadline ends it before it is cut off.
  if (deadline.remaining() <= left) return undefined;
  const isNew = stopWindow.hasBegunBefore(admittedAt);
  if (isNew && isCertaintyNeeded(state, { head, admittedAt, admitted })) {
    return createStoppingFailure(state);
  }
  const { share, slowdown } = isNew ? NEW_REQUEST : WAITING_REQUEST;
  const expected = readExpectedAnswer(state, { head, admitted });
  const time = findCompletion(admitted.route.name)
    .estimate(expected, { share, endpoint });
  if (time === undefined) return createStoppingFailure(state);
  const longest = estimateDelay() + slowdown * time + FORWARD_TIME;
  return longest <= left ? undefined : createStoppingFailure(state, longest);
}

/**
 * Whether only the deadline can tell that the answer to a new request ends in
 * time, as estimates may be wrong and another entry can serve it. So it is for
 * requests that must not run twice, and for late ones whose answers nobody says
 * the length of.
 */
function isCertaintyNeeded(
  { stopWindow, membership }: Pick<ServingState, "stopWindow" | "membership">,
  { head, admittedAt, admitted: { route } }: Pick<
    StopCheckOptions,
    "head" | "admittedAt" | "admitted"
  >,
): boolean {
  const isLate = stopWindow.hasBegunBefore(admittedAt - LATE_AFTER);
  const isBounded = route.kind === "stream" && head.outputTokens !== undefined;
  return (route.kind === "non_idempotent" || (isLate && !isBounded)) &&
    hasLivePeer(membership);
}

/** Whether another entry serves callers and reaches endpoints itself. */
export function hasLivePeer(membership: Pick<Membership, "list">): boolean {
  return membership.list().some(({ health, record }) =>
    health === "alive" && record.state === "live"
  );
}

/**
 * Creates the refusal of an entry that was told to stop. If no other entry
 * serves, callers come back when some have started again, and not all at once.
 *
 * @param longest how long the answer might have taken, if that is known
 */
export function createStoppingFailure(
  { membership, stopWindow, random }: Pick<
    ServingState,
    "membership" | "stopWindow" | "random"
  >,
  longest?: Millis,
): Failure {
  const left = Math.max(0, stopWindow.readTimeLeft());
  const message = `this entry ends in ${Math.round(left)} ms` +
    (longest === undefined
      ? ""
      : `; the answer may take ${Math.round(longest)} ms`);
  const wait = hasLivePeer(membership) ? 0 : left * (0.5 + random());
  return createFailure("stopping", {
    verdict: "not_run",
    message,
    retryAfterMs: Math.max(RETRY_AFTER_STOPPING, Math.round(wait)),
  });
}
