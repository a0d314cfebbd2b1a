/**
 * Watches for requests under which endpoints end, whichever id they come with.
 *
 * @module
 */
import type { EndpointInfo } from "@mangoreach/coordination";
import { computeContentDigest } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointCheck } from "./endpoint_check.ts";
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
}

/** Options of {@linkcode createRunWatch}. */
export interface RunWatchOptions {
  clock: Clock;
  log: DecisionLog;
  endpointCheck: EndpointCheck;
}

/** Creates the watch of an entry that has run nothing yet. */
export function createRunWatch(
  { clock, log, endpointCheck }: RunWatchOptions,
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
    const ranFor = clock.now() - sentAt;
    const condition = await endpointCheck.checkCondition(endpoint);
    log.record("run_broken", {
      request: request.head.id,
      content: findDigest(run),
      account,
      endpoint: endpoint.id,
      incarnation: endpoint.incarnation,
      ranFor,
      outcome: condition,
    });
  }

  return { noteBroken };
}
