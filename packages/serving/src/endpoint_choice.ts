/**
 * Chooses the endpoint of a request among those that may serve it.
 *
 * @module
 */
import type {
  Deadline,
  EndpointInfo,
  VersionHistory,
} from "@mangoreach/coordination";
import {
  hasWorkFactor,
  listDrawnFirst,
  readWorkFactor,
  spreadRetryAfter,
} from "@mangoreach/coordination";
import type { Millis } from "@mangoreach/shared";
import type { EndpointLoad } from "./endpoint_load.ts";
import type { ForwardedRequest } from "./platform_interfaces.ts";
import type { AdmittedRoute } from "./request_admission.ts";
import type { ServingState } from "./serving_state.ts";

/** The longest wait for room at brittle endpoints. */
const MAX_ROOM_WAIT: Millis = 300;
/** The longest wait as a share of the latency objective. */
const MAX_ROOM_WAIT_SHARE = 0.5;
const ROOM_CHECK_INTERVAL: Millis = 20;
/** An endpoint that leaves gets no requests after 2 s. */
const MAX_LEAVING_AGE: Millis = 1_200;

/** What the choice of an endpoint depends on. */
export interface ChoiceOptions {
  request: ForwardedRequest;
  admitted: AdmittedRoute;
  /** Ids of endpoints that the request was sent to before. */
  avoid: readonly string[];
}

/**
 * Returns the best endpoint that may be sent the request now, if there is one.
 * Endpoints that are due for a probe of their limit come first.
 */
export function chooseEndpoint(
  state: ServingState,
  { request, admitted, avoid }: ChoiceOptions,
): EndpointInfo | undefined {
  const { clock, loads, membership, findEngineChoice, random } = state;
  const { sendAllowance, history } = state;
  const usable = mayBeResumed(admitted)
    ? listForNewStream(state, admitted)
    : listUsable(state, admitted);
  const inUse = loads.listHealthy(
    usable.filter(({ id }) => !avoid.includes(id)),
  );
  const engine = admitted.table.findPool(admitted.pool)?.engine;
  const ranked = engine === undefined
    ? rankByCost(inUse, {
      ownPlace: membership.self.place,
      // An engine works on a stream for seconds; the figure has changed by then.
      usesFactors: admitted.route.kind !== "stream",
      now: clock.now(),
      random,
    })
    : findEngineChoice(admitted.pool)
      .rank(request.head.promptParts, inUse, engine);
  const ordered = mayBeResumed(admitted)
    ? listLastingFirst(ranked, { history, usable })
    : ranked;
  const isProbeDue = ({ info }: EndpointLoad) =>
    sendAllowance.isProbeDue(info) && sendAllowance.maySend(info);
  const chosen = ordered.find(isProbeDue) ??
    ordered.find(({ info }) => sendAllowance.maySend(info));
  return chosen?.info;
}

/**
 * Lists the endpoints of the pool. If the version is fixed, those of it, which
 * are those that have just begun to leave if no others are left.
 */
export function listUsable(
  { directory, history }: Pick<ServingState, "directory" | "history">,
  { pool, version }: Pick<AdmittedRoute, "pool" | "version">,
): EndpointInfo[] {
  const usable = directory.listUsable(pool);
  if (version === undefined) return usable;
  const isOfVersion = (endpoint: EndpointInfo) =>
    history.readVersion(endpoint) === version;
  const staying = usable.filter(isOfVersion);
  return staying.length > 0
    ? staying
    : directory.listLeaving(pool, MAX_LEAVING_AGE).filter(isOfVersion);
}

/** Whether the request begins a stream that its caller may resume later. */
function mayBeResumed({ route, version }: AdmittedRoute): boolean {
  return route.kind === "stream" && route.isResumable && version === undefined;
}

/**
 * Lists the endpoints at which a stream may begin that its caller may resume:
 * not those of a version that some entry may not know yet, as it would let the
 * stream go on at the version that it knows. If no others are left, those that
 * have just begun to leave.
 */
function listForNewStream(
  { directory, history }: Pick<ServingState, "directory" | "history">,
  { pool }: Pick<AdmittedRoute, "pool">,
): EndpointInfo[] {
  const mayBegin = (endpoint: EndpointInfo) =>
    history.readTimeToSettle(endpoint) === 0;
  const staying = directory.listUsable(pool).filter(mayBegin);
  return staying.length > 0
    ? staying
    : directory.listLeaving(pool, MAX_LEAVING_AGE).filter(mayBegin);
}

/**
 * Lists endpoints last at whose version a stream could not be resumed: those
 * whose version no other endpoint has, and those of a version that other
 * entries may not know yet.
 */
function listLastingFirst(
  ranked: readonly EndpointLoad[],
  { history, usable }: {
    history: VersionHistory;
    usable: readonly EndpointInfo[];
  },
): EndpointLoad[] {
  const counts = new Map<string | undefined, number>();
  for (const endpoint of usable) {
    const version = history.readVersion(endpoint);
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  if (counts.size <= 1) return [...ranked];
  const countMates = ({ info }: EndpointLoad) => {
    const version = history.readVersion(info);
    return version === undefined ? 0 : counts.get(version) ?? 0;
  };
  const isLasting = (endpoint: EndpointLoad) =>
    countMates(endpoint) > 1 && history.isSettled(endpoint.info);
  return [
    ...ranked.filter(isLasting),
    ...ranked.filter((endpoint) => !isLasting(endpoint)),
  ];
}

/**
 * Returns the time until some endpoint of a pool accepts a request, by the
 * limits and pauses that the endpoints reported.
 */
export function readShortestWait(
  state: Pick<ServingState, "directory" | "history" | "sendAllowance">,
  admitted: Pick<AdmittedRoute, "pool" | "version">,
): Millis {
  return state.sendAllowance.readShortestWait(listUsable(state, admitted));
}

/** Cost of an endpoint in another place, in requests in progress. */
const OTHER_PLACE_COST = 0.5;

function rankByCost(
  endpoints: readonly EndpointLoad[],
  { ownPlace, usesFactors, now, random }: {
    ownPlace: string;
    /** Whether the work factors that endpoints report count. */
    usesFactors: boolean;
    now: Millis;
    random: () => number;
  },
): EndpointLoad[] {
  const hasFactors = usesFactors &&
    endpoints.some(({ report }) => hasWorkFactor(report, now));
  const estimateCost = ({ info, load, slowdown, report }: EndpointLoad) => {
    const factor = hasFactors ? readWorkFactor(report, now) : 1;
    return (1 + load) * slowdown * factor +
      (info.place === ownPlace ? 0 : OTHER_PLACE_COST);
  };
  const ranked = [...endpoints]
    .sort((a, b) => estimateCost(a) - estimateCost(b));
  return hasFactors ? listDrawnFirst(ranked, { estimateCost, random }) : ranked;
}

/**
 * Chooses an endpoint; waits a little if only room at brittle ones is missing.
 * It is found again within one request's time, sooner than the caller could
 * come back.
 */
export async function waitForEndpoint(
  state: ServingState,
  { deadline, ...choice }: ChoiceOptions & { deadline: Deadline },
): Promise<EndpointInfo | undefined> {
  const { clock, sendAllowance } = state;
  const { admitted, avoid } = choice;
  const longest = Math.min(
    MAX_ROOM_WAIT,
    MAX_ROOM_WAIT_SHARE * admitted.route.objective,
  );
  const endAt = clock.now() + longest;
  for (;;) {
    const chosen = chooseEndpoint(state, choice);
    if (chosen !== undefined || clock.now() >= endAt) return chosen;
    const isRoomAwaited = listUsable(state, admitted).some((endpoint) =>
      !avoid.includes(endpoint.id) && sendAllowance.isRoomAwaited(endpoint)
    );
    if (!isRoomAwaited || deadline.signal.aborted) return undefined;
    await clock.sleep(ROOM_CHECK_INTERVAL, deadline.signal);
  }
}

/** Returns the time until some endpoint of a pool may begin a stream. */
function readTimeToSettle(
  { directory, history }: Pick<ServingState, "directory" | "history">,
  admitted: AdmittedRoute,
): Millis {
  if (!mayBeResumed(admitted)) return 0;
  const times = directory.listUsable(admitted.pool).map(
    history.readTimeToSettle,
  );
  return times.length === 0 ? 0 : Math.min(...times);
}

/**
 * Returns when the caller should retry, with jitter. An infinite wait counts as
 * none, as another entry may be able to send to the pool sooner than this one.
 */
export function computeRetryAfter(
  state: ServingState,
  admitted: AdmittedRoute,
): Millis {
  const wait = readShortestWait(state, admitted);
  return spreadRetryAfter(
    Math.max(
      Number.isFinite(wait) ? wait : 0,
      readTimeToSettle(state, admitted),
    ),
    state.random,
  );
}
