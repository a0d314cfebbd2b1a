/**
 * Ensures that a non-idempotent request runs at most once, despite retries at
 * other entries, frozen or crashed entries, lost responses and an unavailable
 * log. docs/design/at_most_once.md compares the alternatives.
 *
 * @module
 */
import type {
  Failure,
  OutcomeTable,
  RequestId,
  RequestKey,
  RunHandle,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type {
  OutcomeQuery,
  OutcomeReply,
  StoredAnswer,
} from "@mangoreach/peers";
import { Result } from "true-myth";
import type { ClaimService } from "./claim_service.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { failMalformed } from "./request_head.ts";

/** Whether a request may run, or already has an answer. */
export type GuardDecision =
  /** It may run here, once; the run must be finished or abandoned. */
  | { kind: "run"; run: RunHandle<StoredAnswer> }
  /** It already ran or was refused; this is the stored answer. */
  | { kind: "answered"; answer: StoredAnswer };

/** A non-idempotent request, as the guard sees it. */
export interface GuardedRequest {
  account: string;
  id: RequestId;
  isFirstAttempt: boolean;
  /** Aborts when the deadline passes or the request is cancelled. */
  signal: AbortSignal;
  remaining: Millis;
}

/**
 * Queries the entry with the given incarnation for the outcome of a request.
 * Returns undefined when that entry cannot be reached.
 */
export type QueryOwner = (
  incarnation: string,
  query: OutcomeQuery,
) => Promise<OutcomeReply | undefined>;

/** The parts of the entry context that the guard uses. */
export interface AtMostOnceGuardContext {
  clock: Clock;
  incarnation: string;
  settings: {
    timing: Pick<EntrySettings["timing"], "bindingMs" | "claimWindowMs">;
  };
}

/** Options of {@linkcode createAtMostOnceGuard}. */
export interface AtMostOnceGuardOptions {
  outcomes: OutcomeTable<StoredAnswer>;
  claims: Pick<ClaimService, "claim" | "table">;
  queryOwner: QueryOwner;
}

/** Ensures that non-idempotent requests run at most once. */
export interface AtMostOnceGuard {
  begin(request: GuardedRequest): Promise<Result<GuardDecision, Failure>>;
  /**
   * Answers a peer's query about a request that only this entry may run. If the
   * request has not run, running it here is forbidden from then on.
   */
  answer(query: OutcomeQuery): Promise<OutcomeReply>;
}

/** Bindings are also issued by other entries, whose clocks may be ahead. */
const MAX_CLOCK_SKEW: Millis = 60_000;
/** Share of the remaining time to wait for a claim; the rest is for the run. */
const CLAIM_WAIT_SHARE = 0.5;
/**
 * Outcomes of dated ids are stored for this many claim windows, until no entry
 * accepts the id any more.
 */
const RETENTION_WINDOWS = 2;

type Decision = Result<GuardDecision, Failure>;

/** Creates the guard of one entry incarnation. */
export function createAtMostOnceGuard(
  { settings, clock, incarnation }: AtMostOnceGuardContext,
  { outcomes, claims, queryOwner }: AtMostOnceGuardOptions,
): AtMostOnceGuard {
  const { bindingMs, claimWindowMs } = settings.timing;

  async function begin(request: GuardedRequest): Promise<Decision> {
    const { id } = request;
    switch (id.kind) {
      case "bound":
        return await beginBound(request, id);
      case "dated":
        return await beginDated(request, id);
      case "plain":
        return Result.err(failMalformed(
          "a non-idempotent request needs an id bound to an entry or a UUIDv7",
        ));
    }
  }

  async function beginBound(
    request: GuardedRequest,
    id: RequestId & { kind: "bound" },
  ): Promise<Decision> {
    const key = { account: request.account, id: id.text };
    const now = clock.now();
    if (id.expiresAt > now + bindingMs + MAX_CLOCK_SKEW) {
      return Result.err(failMalformed("the id's binding lasts too long"));
    }
    if (id.incarnation !== incarnation) {
      return await fetchFromOwner(
        id.incarnation,
        { request, key },
        id.expiresAt,
      );
    }
    // The record of an earlier run may have expired along with the id.
    if (id.expiresAt <= now) return Result.err(failUnknown("expired"));
    return await beginLocal(request, { key, keepUntil: id.expiresAt });
  }

  async function beginDated(
    request: GuardedRequest,
    id: RequestId & { kind: "dated" },
  ): Promise<Decision> {
    const key = { account: request.account, id: id.text };
    if (!claims.table.isWithinWindow(id.issuedAt)) {
      return Result.err(failUnknown("expired"));
    }
    const keepUntil = id.issuedAt + RETENTION_WINDOWS * claimWindowMs;
    const holder = claims.table.find(key);
    if (holder !== undefined && holder.incarnation !== incarnation) {
      return await fetchFromOwner(
        holder.incarnation,
        { request, key },
        keepUntil,
      );
    }
    const decision = await beginLocal(request, { key, keepUntil });
    // A claim of this incarnation that is already in the table but has no outcome
    // record was abandoned before dispatch, so the request may run now.
    if (decision.isErr || decision.value.kind !== "run") return decision;
    if (holder !== undefined) return decision;
    return await claimRun(request, {
      key,
      issuedAt: id.issuedAt,
      keepUntil,
      run: decision.value.run,
    });
  }

  async function claimRun(
    request: GuardedRequest,
    { key, issuedAt, keepUntil, run }: {
      key: RequestKey;
      issuedAt: Millis;
      keepUntil: Millis;
      run: RunHandle<StoredAnswer>;
    },
  ): Promise<Decision> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const wait = request.remaining * CLAIM_WAIT_SHARE;
    const stopTimer = clock.startTimer(wait, abort);
    request.signal.addEventListener("abort", abort, { once: true });
    const outcome = await claims.claim({ ...key, issuedAt }, controller.signal);
    stopTimer();
    request.signal.removeEventListener("abort", abort);
    if (outcome.kind === "won") return Result.ok({ kind: "run", run });
    // Nothing has been or will be dispatched under this claim.
    run.abandon(createUnknownAnswer());
    if (outcome.kind === "lost") {
      return await fetchFromOwner(outcome.holder, { request, key }, keepUntil);
    }
    return Result.err(createFailure("unavailable", {
      verdict: request.isFirstAttempt ? "not_run" : "may_have_run",
      message: "the log could not confirm the claim of this id in time",
      retryAfterMs: LOG_RETRY_AFTER,
    }));
  }

  async function beginLocal(
    request: GuardedRequest,
    { key, keepUntil }: { key: RequestKey; keepUntil: Millis },
  ): Promise<Decision> {
    const begun = outcomes.begin(key, keepUntil);
    switch (begun.kind) {
      case "fresh":
        return Result.ok({ kind: "run", run: begun.run });
      case "forbidden":
        return Result.err(failForbidden());
      case "full":
        return Result.err(createFailure("overloaded", {
          verdict: "not_run",
          message: "no room to remember another non-idempotent request",
          retryAfterMs: FULL_RETRY_AFTER,
        }));
      case "known": {
        const answer = await waitForOutcome(begun.outcome, request.signal);
        if (answer === undefined) return Result.err(failUnknown("running"));
        return Result.ok({ kind: "answered", answer });
      }
    }
  }

  async function fetchFromOwner(
    owner: string,
    { request, key }: { request: GuardedRequest; key: RequestKey },
    keepUntil: Millis,
  ): Promise<Decision> {
    const waitMs = Math.max(0, request.remaining - OWNER_REPLY_MARGIN);
    const reply = await queryOwner(owner, { ...key, keepUntil, waitMs });
    if (reply?.kind === "answered") {
      return Result.ok({ kind: "answered", answer: reply.answer });
    }
    if (reply?.kind === "forbidden") return Result.err(failForbidden());
    return Result.err(failUnknown("owner"));
  }

  async function answer(query: OutcomeQuery): Promise<OutcomeReply> {
    const now = clock.now();
    // An expired id has no record any more. An id that expires too far in the
    // future, such as one from an entry with a wrong clock, cannot be forbidden for
    // its whole lifetime.
    const isTooLong = query.keepUntil > now + bindingMs + MAX_CLOCK_SKEW +
        RETENTION_WINDOWS * claimWindowMs;
    if (query.keepUntil <= now || isTooLong) return { kind: "unknown" };
    const found = outcomes.forbid(query, query.keepUntil);
    if (found.kind === "forbidden") return { kind: "forbidden" };
    if (found.kind === "full") return { kind: "unknown" };
    const controller = new AbortController();
    const stop = clock.startTimer(query.waitMs, () => controller.abort());
    const answered = await waitForOutcome(found.outcome, controller.signal);
    stop();
    if (answered === undefined) return { kind: "unknown" };
    return { kind: "answered", answer: answered };
  }

  return { begin, answer };
}

const LOG_RETRY_AFTER: Millis = 1_000;
const FULL_RETRY_AFTER: Millis = 5_000;
/** Time reserved for the owner's reply to arrive. */
const OWNER_REPLY_MARGIN: Millis = 50;

function waitForOutcome<T>(
  outcome: Promise<T>,
  signal: AbortSignal,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const onAbort = () => resolve(undefined);
    if (signal.aborted) return onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
    void outcome.then((value) => {
      signal.removeEventListener("abort", onAbort);
      resolve(value);
    });
  });
}

const UNKNOWN_MESSAGES = {
  expired: "the id is too old to tell whether it ran; it will not run now",
  running: "the request still runs",
  owner: "only another entry may run this id, and it cannot be asked",
} as const;

function failUnknown(reason: keyof typeof UNKNOWN_MESSAGES): Failure {
  return createFailure("outcome_unknown", {
    verdict: "may_have_run",
    message: UNKNOWN_MESSAGES[reason],
  });
}

function failForbidden(): Failure {
  return createFailure("duplicate", {
    verdict: "not_run",
    message: "this id did not run and never will; send it under a new id",
  });
}

function createUnknownAnswer(): StoredAnswer {
  return {
    status: 409,
    contentType: "application/json",
    verdict: "may_have_run",
    body: JSON.stringify({ error: failUnknown("owner") }),
  };
}
