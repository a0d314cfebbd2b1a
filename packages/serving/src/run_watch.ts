/**
 * Watches for requests under which endpoints end, whichever id they come with.
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
} from "@mangoreach/coordination";
import type { EndpointEnd } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { QuarantineNews } from "./quarantine_news.ts";
import type { PassedRequest } from "./serving_handles.ts";

/** A request as its client account sent it. */
export interface WatchedRequest {
  request: PassedRequest;
  /** The client account; undefined where there are none. */
  account: string | undefined;
}

/** A run whose connection ended before the answer did. */
export interface BrokenRun extends WatchedRequest {
  endpoint: EndpointInfo;
  sentAt: Millis;
}

/** Watches the runs of one entry. */
export interface RunWatch {
  /** Resolves when it is known what became of the endpoint. */
  noteBroken(run: BrokenRun): Promise<void>;
  /** Takes ends of stage endpoints, as their feeder found them. */
  noteStageEnds(watched: WatchedRequest, ends: readonly EndpointEnd[]): void;
  noteCompleted(watched: WatchedRequest): void;
  /** The refusal of a request that is turned away; undefined if it is let in. */
  findRefusal(watched: WatchedRequest): Failure | undefined;
}

/** Options of {@linkcode createRunWatch}. */
export interface RunWatchOptions {
  clock: Clock;
  log: DecisionLog;
  endpointCheck: EndpointCheck;
  quarantine: Pick<PoisonQuarantine, "isEmpty" | "readTimeLeft">;
  news: Pick<QuarantineNews, "noteEnded" | "noteCompleted">;
}

/** Creates the watch of an entry that has run nothing yet. */
export function createRunWatch(
  { clock, log, endpointCheck, quarantine, news }: RunWatchOptions,
): RunWatch {
  const digests = new WeakMap<PassedRequest, string>();

  function findDigest({ request, account }: WatchedRequest): string {
    const present = digests.get(request);
    if (present !== undefined) return present;
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

  async function noteBroken(run: BrokenRun): Promise<void> {
    const { request, account, endpoint, sentAt } = run;
    const endedAt = clock.now();
    const condition = await endpointCheck.checkCondition(endpoint);
    const content = findDigest(run);
    log.record("run_broken", {
      request: request.head.id,
      content,
      account,
      endpoint: endpoint.id,
      incarnation: endpoint.incarnation,
      ranFor: endedAt - sentAt,
      outcome: condition,
    });
    if (condition !== "ended") return;
    const now = clock.now();
    news.noteEnded({
      content,
      endpointKey: formatEndpointKey(endpoint),
      sentAgo: now - sentAt,
      endedAgo: now - endedAt,
    });
  }

  function noteStageEnds(
    watched: WatchedRequest,
    ends: readonly EndpointEnd[],
  ): void {
    const content = findDigest(watched);
    ends.forEach((end) => news.noteEnded({ content, ...end }));
  }

  function noteCompleted(watched: WatchedRequest): void {
    if (quarantine.isEmpty()) return;
    news.noteCompleted(findDigest(watched));
  }

  function findRefusal(watched: WatchedRequest): Failure | undefined {
    if (quarantine.isEmpty()) return undefined;
    const retryAfterMs = quarantine.readTimeLeft(findDigest(watched));
    if (retryAfterMs === 0) return undefined;
    return createFailure("unavailable", {
      verdict: "not_run",
      message: "endpoints ended under this request",
      retryAfterMs,
    });
  }

  return { noteBroken, noteStageEnds, noteCompleted, findRefusal };
}
