/**
 * Decides where a stream that a caller resumes goes on: at the version of
 * endpoints that began it, or nowhere.
 *
 * @module
 */
import type {
  EndpointDirectory,
  EndpointInfo,
  Failure,
  Route,
  VersionHistory,
} from "@mangoreach/coordination";
import {
  createFailure,
  findOnlyVersion,
  formatStreamKey,
  MAX_STREAM_LIFETIME,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import { listUsable } from "./endpoint_choice.ts";
import type { RequestHead } from "./platform_interfaces.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type {
  StreamKnowledge,
  StreamOriginGossip,
} from "./stream_origin_gossip.ts";

/** Options of {@linkcode createStreamResumption}. */
export interface StreamResumptionOptions {
  log: DecisionLog;
  metrics: ServingMetrics;
  gossip: Pick<StreamOriginGossip, "record" | "find">;
  history: VersionHistory;
  directory: EndpointDirectory;
  /** Whether a restart of an endpoint would be known here. */
  isListCurrent: () => boolean;
}

/** A request of a stream that may be resumed. */
export interface StreamRequest {
  head: RequestHead;
  route: Route;
  account: string | undefined;
}

/** The endpoints at which a resumed stream may go on. */
export interface ResumeTarget {
  pool: string;
  version: string;
}

/** Resumption of streams at one entry. */
export interface StreamResumption {
  /** Records which endpoint brings the first event of a stream. */
  recordBegun(request: StreamRequest, endpoint: EndpointInfo): void;
  /** Finds where a stream may go on. */
  findTarget(request: StreamRequest): Promise<Result<ResumeTarget, Failure>>;
}

/** How it was found where a stream may go on, or why it may not. */
export type ResumeOutcome =
  | "origin"
  | "only_version"
  | "unknown"
  | "version_unknown"
  | "pool_gone"
  | "version_gone";

/** A caller may take a stream up that has lasted for its route's timeout. */
const LIFETIME_FACTOR = 2;
const MIN_LIFETIME: Millis = 10_000;
/** A peer that is short of processor time or frozen may answer by then. */
const RETRY_AFTER_PARTIAL: Millis = 300;
/** An endpoint that crashed may be replaced by one of its version by then. */
const RETRY_AFTER_CRASH: Millis = 1_000;
/** An endpoint that is gone for longer is not being replaced. */
const REPLACEMENT_TIME: Millis = 5_000;

/** Creates the resumption of one entry. */
export function createStreamResumption(
  { log, metrics, gossip, history, directory, isListCurrent }:
    StreamResumptionOptions,
): StreamResumption {
  function recordBegun(
    { head, route, account }: StreamRequest,
    endpoint: EndpointInfo,
  ): void {
    if (!route.isResumable) return;
    gossip.record({
      key: formatStreamKey({ account, id: head.id }),
      origin: {
        pool: endpoint.pool,
        endpoint: endpoint.id,
        // It may have restarted under its id with another version.
        version: isListCurrent() ? history.readVersion(endpoint) : undefined,
      },
      lifetime: computeLifetime(route, head.budget),
    });
  }

  async function findTarget(
    request: StreamRequest,
  ): Promise<Result<ResumeTarget, Failure>> {
    const { head, route, account } = request;
    const id = head.resumed?.id;
    const pools = route.pools.map(({ pool }) => pool);
    const knowledge = await gossip.find(
      id === undefined ? undefined : formatStreamKey({ account, id }),
      pools,
    );
    const found = chooseTarget(knowledge, request);
    const outcome = typeof found === "string" ? found : checkTarget(found);
    const target = typeof found === "string" ? undefined : found;
    metrics.countResumed(outcome);
    log.record("stream_resumed", {
      request: head.id,
      resumes: id,
      pool: target?.pool,
      version: target?.version,
      partial: knowledge.isPartial || undefined,
      outcome,
    });
    if (target !== undefined && target.outcome === outcome) {
      return Result.ok({ pool: target.pool, version: target.version });
    }
    return Result.err(explainRefusal(outcome, { target, knowledge }));
  }

  function chooseTarget(
    { origin, histories }: StreamKnowledge,
    { route }: StreamRequest,
  ): FoundTarget | ResumeOutcome {
    if (origin !== undefined) {
      const { pool, endpoint, version } = origin;
      if (!route.pools.some((weighted) => weighted.pool === pool)) {
        return "pool_gone";
      }
      // Whoever recorded the version may not have known of a change.
      const isKnown = version !== undefined && !history.hasChanged(endpoint);
      if (!isKnown) return "version_unknown";
      return { pool, version, outcome: "origin" };
    }
    const [only, ...others] = route.pools;
    if (only === undefined || others.length > 0) return "unknown";
    const { pool } = only;
    const views = histories.flatMap((versions) => versions.get(pool) ?? []);
    const version = findOnlyVersion(views, MAX_STREAM_LIFETIME);
    return version === undefined
      ? "unknown"
      : { pool, version, outcome: "only_version" };
  }

  /** A version of which no endpoint takes work can't go on. */
  function checkTarget({ pool, version, outcome }: FoundTarget): ResumeOutcome {
    const usable = listUsable({ directory, history }, { pool, version });
    return usable.length > 0 ? outcome : "version_gone";
  }

  function explainRefusal(
    outcome: ResumeOutcome,
    { target, knowledge }: {
      target: FoundTarget | undefined;
      knowledge: StreamKnowledge;
    },
  ): Failure {
    const mayBeReplaced = target !== undefined &&
      history.read(target.pool).versions.some(({ version, seenAgo }) =>
        version === target.version && seenAgo <= REPLACEMENT_TIME
      );
    const retryAfterMs = mayBeReplaced
      ? RETRY_AFTER_CRASH
      : outcome === "unknown" && knowledge.isPartial
      ? RETRY_AFTER_PARTIAL
      : undefined;
    return createFailure("unavailable", {
      verdict: "not_run",
      message: MESSAGES[outcome],
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
  }

  return { recordBegun, findTarget };
}

interface FoundTarget extends ResumeTarget {
  outcome: ResumeOutcome;
}

const MESSAGES: Readonly<Record<ResumeOutcome, string>> = {
  origin: "the stream goes on",
  only_version: "the stream goes on",
  unknown: "it is not known here which version began the stream",
  version_unknown: "the version that began the stream is not known",
  pool_gone: "the service that began the stream no longer serves this route",
  version_gone: "no endpoint of the version that began the stream takes work",
};

/**
 * Returns how long a stream is remembered: for as long as its caller waits, who
 * may wait for longer than one try takes.
 */
function computeLifetime({ timeout }: Route, budget: Millis): Millis {
  return Math.min(
    MAX_STREAM_LIFETIME,
    Math.max(MIN_LIFETIME, budget, LIFETIME_FACTOR * timeout),
  );
}
