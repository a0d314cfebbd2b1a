/**
 * Detects requests that crash the endpoints which run them. Requests are
 * recognised by their content, as callers may resend them under new ids.
 *
 * @module
 */
import type {
  EndpointInfo,
  Failure,
  PoisonQuarantine,
} from "@mangoreach/coordination";
import {
  computeContentDigest,
  createFailure,
  formatEndpointKey,
  isPartTrait,
  listPartTraits,
} from "@mangoreach/coordination";
import type { EndpointCrash } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointCheck, EndpointCondition } from "./endpoint_check.ts";
import type { EndpointReplacement } from "./endpoint_replacement.ts";
import type { QuarantineGossip } from "./quarantine_gossip.ts";
import type { ForwardedRequest } from "./platform_interfaces.ts";

/** A request with the client account that sent it. */
export interface TrackedRequest {
  request: ForwardedRequest;
  /** The client account; undefined where there are none. */
  account: string | undefined;
}

/** A run whose connection ended before the answer was complete. */
export interface BrokenRun extends TrackedRequest {
  endpoint: EndpointInfo;
  sentAt: Millis;
  /** When the first event of its answer came; undefined if none did. */
  answeringSince: Millis | undefined;
}

/** What is kept of a broken run while its endpoint is checked. */
interface EndedRun extends Omit<BrokenRun, "request"> {
  id: string;
  traits: readonly string[];
  endedAt: Millis;
}

/** Tracks the runs of one entry. */
export interface CrashDetector {
  /**
   * Resolves once the endpoint was checked, which may take some seconds, and a
   * crash was recorded.
   */
  handleBrokenRun(run: BrokenRun): Promise<void>;
  /** Records crashes of stage endpoints that their dispatcher found. */
  recordStageCrashes(
    tracked: TrackedRequest,
    ends: readonly EndpointCrash[],
  ): void;
  recordCompletion(tracked: TrackedRequest): void;
  /** Returns the refusal of a quarantined request; undefined if it may run. */
  findRefusal(tracked: TrackedRequest): Failure | undefined;
}

/** Options of {@linkcode createCrashDetector}. */
export interface CrashDetectorOptions {
  clock: Clock;
  log: DecisionLog;
  endpointCheck: EndpointCheck;
  replacement: EndpointReplacement;
  quarantine: Pick<PoisonQuarantine, "isEmpty" | "readTimeLeft">;
  gossip: Pick<QuarantineGossip, "recordCrash" | "recordCompletion">;
}

/**
 * A run that has answered for this long has begun without a crash, so no part of
 * its prompt crashes every endpoint that begins to answer.
 */
const BEGUN_AFTER: Millis = 500;

/** Creates the detector of one entry. */
export function createCrashDetector(
  { clock, log, endpointCheck, replacement, quarantine, gossip }:
    CrashDetectorOptions,
): CrashDetector {
  const digests = new WeakMap<ForwardedRequest, string>();

  function computeDigest({ request, account }: TrackedRequest): string {
    const cached = digests.get(request);
    if (cached !== undefined) return cached;
    const { method, host, target } = request.head;
    const { body } = request;
    const digest = computeContentDigest({
      account,
      method,
      host,
      target,
      body,
    });
    digests.set(request, digest);
    return digest;
  }

  /** Lists the traits by which the cause of crashes is recognised. */
  function listTraits(tracked: TrackedRequest): string[] {
    const parts = listPartTraits(tracked.request.head.promptParts);
    return [computeDigest(tracked), ...parts];
  }

  /** Holds no body while the endpoint is checked. */
  function handleBrokenRun(run: BrokenRun): Promise<void> {
    const { request, account, endpoint, sentAt, answeringSince } = run;
    return checkBrokenRun({
      id: request.head.id,
      traits: listTraits(run),
      account,
      endpoint,
      sentAt,
      endedAt: clock.now(),
      answeringSince,
    });
  }

  async function checkCrash(
    endpoint: EndpointInfo,
  ): Promise<EndpointCondition | "replaced"> {
    const condition = await endpointCheck.checkCondition(endpoint);
    if (condition === "ended") return condition;
    const isReplaced = await replacement.waitForReplacement(endpoint);
    return isReplaced ? "replaced" : condition;
  }

  async function checkBrokenRun(
    { id, traits, account, endpoint, sentAt, endedAt, answeringSince }:
      EndedRun,
  ): Promise<void> {
    const condition = await checkCrash(endpoint);
    const hasBegun = answeringSince !== undefined &&
      endedAt - answeringSince >= BEGUN_AFTER;
    log.record("run_broken", {
      request: id,
      content: traits[0],
      parts: traits.filter(isPartTrait),
      answeredFor: answeringSince && endedAt - answeringSince,
      account,
      endpoint: endpoint.id,
      incarnation: endpoint.incarnation,
      ranFor: endedAt - sentAt,
      outcome: condition,
    });
    if (condition !== "ended" && condition !== "replaced") return;
    const now = clock.now();
    if (hasBegun) gossip.recordCompletion(traits.filter(isPartTrait));
    gossip.recordCrash({
      traits: traits.filter((trait) => !hasBegun || !isPartTrait(trait)),
      endpointKey: formatEndpointKey(endpoint),
      sentAgo: now - sentAt,
      endedAgo: now - endedAt,
    });
  }

  function recordStageCrashes(
    tracked: TrackedRequest,
    ends: readonly EndpointCrash[],
  ): void {
    const traits = listTraits(tracked);
    ends.forEach((end) => gossip.recordCrash({ traits, ...end }));
  }

  function recordCompletion(tracked: TrackedRequest): void {
    const traits = quarantine.isEmpty()
      ? listPartTraits(tracked.request.head.promptParts)
      : listTraits(tracked);
    if (traits.length > 0) gossip.recordCompletion(traits);
  }

  function findRefusal(tracked: TrackedRequest): Failure | undefined {
    if (quarantine.isEmpty()) return undefined;
    const retryAfterMs = quarantine.readTimeLeft(listTraits(tracked));
    if (retryAfterMs === 0) return undefined;
    return createFailure("unavailable", {
      verdict: "not_run",
      message: "endpoints ended under this request",
      retryAfterMs,
    });
  }

  return {
    handleBrokenRun,
    recordStageCrashes,
    recordCompletion,
    findRefusal,
  };
}
