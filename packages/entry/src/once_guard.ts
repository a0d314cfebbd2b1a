/**
 * Sees to it that a non-idempotent request runs at most once, over retries at
 * other entries, frozen and dead entries, lost answers and a log that is away.
 * docs/design/at_most_once.md weighs the ways.
 *
 * @module
 */
import type {
  Failure,
  OutcomeTable,
  OwnedRun,
  RequestId,
  RequestKey,
} from "@mangoreach/coordination";
import { createFailure } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type {
  OutcomeQuestion,
  OutcomeReply,
  StoredAnswer,
} from "@mangoreach/peers";
import { Result } from "true-myth";
import type { ClaimService } from "./claim_service.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { failMalformed } from "./request_head.ts";

/** What may be done with a request. */
export type GuardDecision =
  /** It may run here, once; the run must be finished or abandoned. */
  | { kind: "run"; run: OwnedRun<StoredAnswer> }
  /** It ran or was refused before; this was the answer. */
  | { kind: "answered"; answer: StoredAnswer };

/** A non-idempotent request. */
export interface GuardedRequest {
  account: string;
  id: RequestId;
  isFirstAttempt: boolean;
  /** Aborts when the request is given up. */
  signal: AbortSignal;
  remaining: Millis;
}

/** Asks the entry with an incarnation; undefined when it cannot be asked. */
export type QueryOwner = (
  incarnation: string,
  query: OutcomeQuestion,
) => Promise<OutcomeReply | undefined>;

/** What the guard needs of its entry. */
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

/** Guards non-idempotent requests. */
export interface AtMostOnceGuard {
  begin(request: GuardedRequest): Promise<Result<GuardDecision, Failure>>;
  /** Answers a peer about a request that only this entry may run. */
  answer(query: OutcomeQuestion): Promise<OutcomeReply>;
}

/** Other entries' clocks, which make bindings too, may be ahead by this. */
const MAX_CLOCK_SKEW: Millis = 60_000;
/** Left of the deadline after waiting for a claim, to run the request in. */
const CLAIM_WAIT_SHARE = 0.5;
/** Records for dated ids are kept until no entry accepts the id any more. */
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
    // From here on the records that could show an earlier run may be gone.
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
    // A claim of this incarnation that was read before and left no record was
    // abandoned before dispatch, so the request may run now.
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
      run: OwnedRun<StoredAnswer>;
    },
  ): Promise<Decision> {
    const controller = new AbortController();
    const giveUp = () => controller.abort();
    const wait = request.remaining * CLAIM_WAIT_SHARE;
    const stopTimer = clock.startTimer(wait, giveUp);
    request.signal.addEventListener("abort", giveUp, { once: true });
    const outcome = await claims.claim({ ...key, issuedAt }, controller.signal);
    stopTimer();
    request.signal.removeEventListener("abort", giveUp);
    if (outcome.kind === "won") return Result.ok({ kind: "run", run });
    // Nothing was dispatched here and nothing will be under this claim.
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

  async function answer(query: OutcomeQuestion): Promise<OutcomeReply> {
    const now = clock.now();
    // An expired id has no record any more; and nothing may be promised about
    // one that a broken clock elsewhere made last for ever.
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
/** Time for the way back from the owner. */
const OWNER_REPLY_MARGIN: Millis = 50;

function waitForOutcome<T>(
  outcome: Promise<T>,
  signal: AbortSignal,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const giveUp = () => resolve(undefined);
    if (signal.aborted) return giveUp();
    signal.addEventListener("abort", giveUp, { once: true });
    void outcome.then((value) => {
      signal.removeEventListener("abort", giveUp);
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
