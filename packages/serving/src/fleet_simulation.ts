/**
 * Simulates a fleet of entries and endpoints that send back-pressure signals,
 * on a fake clock and without sockets. Arrivals are recorded at the endpoints.
 *
 * @module
 */
import type {
  EndpointInfo,
  EndpointSignals,
  EntryAllowance,
  PeerRecord,
} from "@mangoreach/coordination";
import {
  createEndpointDirectory,
  createEntryAllowance,
  createMembership,
  listKnownEntries,
  listSendingMembers,
} from "@mangoreach/coordination";
import type { FakeClock, HttpFault, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { MersenneTwister19937, Random } from "random-js";
import { Result } from "true-myth";
import type {
  BrittleEndpoint,
  BrittleEndpointOptions,
} from "./brittle_simulation.ts";
import { createBrittleEndpoint } from "./brittle_simulation.ts";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import { createSignalHandler } from "./endpoint_signals.ts";
import { serveRequest } from "./request_service.ts";
import type { CallEndpoint, EndpointAnswer } from "./platform_interfaces.ts";
import type { ServingState } from "./serving_state.ts";
import {
  createRecordedResponse,
  createTestEndpoint,
  createTestHead,
  createTestPeer,
  createTestReply,
  createTestRoute,
  createTestState,
  createTestTable,
} from "./test_support.ts";

/** Load and endpoints of a simulation. */
export interface FleetLoad {
  entries: number;
  endpoints: number;
  /** Requests per second, for all entries together. */
  perSecond: number;
  duration: Millis;
  /** A time from which there are this many times as many requests. */
  burst?: { from: Millis; factor: number };
  /** Lists the entries that an entry knows; all of them by default. */
  listKnownEntries?: (
    entry: number,
    records: readonly PeerRecord[],
  ) => readonly PeerRecord[];
  /** Whether entries know the others, but hear nothing from them. */
  isPartitioned?: boolean;
  /** Returns the signals in a reply of an endpoint at a time. */
  readSignals: (endpoint: number, now: Millis) => EndpointSignals;
  /** The room of each endpoint; unlimited if left out. */
  room?: Omit<BrittleEndpointOptions, "clock">;
}

/** A request as it arrived at an endpoint. */
export interface FleetArrival {
  endpoint: number;
  entry: number;
  at: Millis;
  /** Time at which the caller sent it. */
  sentAt: Millis;
  /** Signals that the endpoint had reported to this entry before, in order. */
  told: readonly ReportedSignals[];
}

/** Signals that an endpoint reported to an entry. */
export interface ReportedSignals extends EndpointSignals {
  at: Millis;
}

/** Results of a simulation. */
export interface FleetResult {
  arrivals: readonly FleetArrival[];
  sent: number;
  served: number;
  refusals: readonly FleetRefusal[];
  /** How often endpoints fell over. */
  falls: number;
}

/** A refusal as the caller receives it. */
export interface FleetRefusal {
  at: Millis;
  took: Millis;
  /** Delay after which the caller may retry; 0 if the refusal names none. */
  retryAfter: Millis;
}

/** The period in which the first `count` endpoints send signals. */
export interface SignalPeriod {
  count: number;
  from: Millis;
  /** Defaults to the end of the simulation. */
  until?: Millis;
}

const STEP: Millis = 10;
const MILLIS_PER_SECOND = 1_000;
const WORK_TIME: Millis = 60;
/** Share of refused requests that are retried once, at any entry. */
const RETRY_SHARE = 0.5;
const RETRY_DELAY: Millis = 300;
const EXCHANGE_INTERVAL: Millis = 500;
/** With a retry. */
const MAX_REQUEST_TIME: Millis = 10_000;
/** Limit updates per gossip message. */
const MAX_UPDATES = 16;

/**
 * Makes the first endpoints send the same signals in every reply of a period.
 */
export function createSignalSchedule(
  { count, from, until = Infinity }: SignalPeriod,
  signals: EndpointSignals,
): FleetLoad["readSignals"] {
  return (endpoint, now) =>
    endpoint < count && now >= from && now < until ? signals : {};
}

/** Runs a simulation to its end. */
export async function runFleetSimulation(
  load: FleetLoad,
): Promise<FleetResult> {
  const clock = createFakeClock(0);
  const engine = new Random(MersenneTwister19937.seed(load.entries));
  const random = () => engine.real(0, 1);
  const { room } = load;
  const infos = Array.from(
    { length: load.endpoints },
    (_, number) =>
      createTestEndpoint(`e${number}`, room && { slots: room.slots }),
  );
  const rooms = room === undefined
    ? []
    : infos.map(() => createBrittleEndpoint({ ...room, clock }));
  const arrivals: FleetArrival[] = [];
  const refusals: FleetRefusal[] = [];
  const totals = { sent: 0, served: 0 };
  const states = createEntries(load, {
    clock,
    random,
    infos,
    rooms,
    arrivals,
  });

  async function send(mayRetry: boolean): Promise<void> {
    const state = states[engine.integer(0, states.length - 1)]!;
    state.configAge.recordConfirmed(state.configAge.readTime());
    const receivedAt = clock.now();
    const { response, seen } = createRecordedResponse();
    response.refuse = ({ retryAfterMs: retryAfter = 0 }) => {
      const at = clock.now();
      refusals.push({ at, took: at - receivedAt, retryAfter });
    };
    const head = createTestHead({ id: `request-${totals.sent}` });
    await serveRequest(state, {
      request: { head, body: Buffer.from(String(receivedAt)) },
      response,
      receivedAt,
    });
    if (seen[0]?.startsWith("200")) totals.served++;
    else if (mayRetry && random() < RETRY_SHARE) {
      await clock.sleep(RETRY_DELAY);
      await send(false);
    }
  }

  const pending: Promise<void>[] = [];
  while (clock.now() < load.duration) {
    await clock.advance(STEP);
    const { from = Infinity, factor = 1 } = load.burst ?? {};
    const extra = (factor - 1) * Math.max(0, clock.now() - from);
    const due = load.perSecond * (clock.now() + extra) / MILLIS_PER_SECOND;
    for (; totals.sent < due; totals.sent++) pending.push(send(true));
  }
  await clock.advance(2 * RETRY_DELAY + 4 * WORK_TIME);
  // Requests may wait for endpoints with little room until their deadline.
  if (room !== undefined) await clock.advance(MAX_REQUEST_TIME);
  await Promise.all(pending);
  const falls = rooms.reduce((sum, { fallenAt }) => sum + fallenAt.length, 0);
  return { ...totals, arrivals, refusals, falls };
}

interface EntryOptions {
  clock: FakeClock;
  random: () => number;
  infos: readonly EndpointInfo[];
  rooms: readonly BrittleEndpoint[];
  arrivals: FleetArrival[];
}

function createEntries(
  load: FleetLoad,
  { clock, random, infos, rooms, arrivals }: EntryOptions,
): ServingState[] {
  const table = createTestTable([createTestRoute({ isPublic: true })]);
  const records = Array.from(
    { length: load.entries },
    (_, number) => createTestPeer(`entry-${number}`),
  );
  const allowances: EntryAllowance[] = [];

  function createEntry(_: unknown, entry: number): ServingState {
    const directory = createEndpointDirectory({ clock, markTtl: 1_000 });
    directory.replaceAll(infos);
    const reportedBy = new Map<number, ReportedSignals[]>();
    const callEndpoint: CallEndpoint = async ({ endpoint, request }) => {
      const number = infos.findIndex(({ id }) => id === endpoint.id);
      const withRoom = rooms[number];
      if (withRoom !== undefined) return await withRoom.call();
      arrivals.push({
        endpoint: number,
        entry,
        at: clock.now(),
        sentAt: Number(request.body),
        told: [...reportedBy.get(number) ?? []],
      });
      const isRefused =
        load.readSignals(number, clock.now()).pause !== undefined;
      await clock.sleep(isRefused ? 1 : WORK_TIME);
      const signals = load.readSignals(number, clock.now());
      if (Object.keys(signals).length > 0) {
        const reported = reportedBy.get(number) ?? [];
        reportedBy.set(number, [...reported, { ...signals, at: clock.now() }]);
      }
      return isRefused
        ? Result.ok<EndpointAnswer, HttpFault>({
          kind: "not_run",
          reason: "full",
          load: undefined,
          signals,
        })
        : Result.ok({ ...createTestReply(["x"]), signals });
    };
    const membership = createMembership({
      clock,
      self: records[entry]!,
      random,
      suspectTimeout: Infinity,
      lostTimeout: load.isPartitioned ? MILLIS_PER_SECOND : Infinity,
    });
    membership.merge(load.listKnownEntries?.(entry, records) ?? records);
    const loads = createEndpointLoads(clock);
    const entryAllowance = createEntryAllowance({
      clock,
      random,
      entry: membership.self.entry,
      listMembers: () => listSendingMembers(membership),
      directory,
      listEntries: () => listKnownEntries(membership),
      isDispatched: () => false,
      readRoom(endpoint) {
        const [view] = loads.view([endpoint]);
        return { load: view?.load ?? 0, slots: view?.report?.slots };
      },
    });
    allowances[entry] = entryAllowance;
    const state = createTestState(clock, {
      membership,
      directory,
      loads,
      readTable: () => table,
      callEndpoint,
      sendAllowance: entryAllowance.allowance,
    });
    state.handleSignals = createSignalHandler({
      log: createSilentDecisionLog(),
      metrics: state.metrics,
      limits: entryAllowance.limits,
      brittle: entryAllowance.brittle,
      pauses: entryAllowance.pauses,
      directory,
      listAt: () => [],
      reportPause: () => {},
    });
    return state;
  }

  /** Each entry exchanges limit updates with one other, chosen at random. */
  function exchangeUpdates(): void {
    for (const own of load.isPartitioned ? [] : allowances) {
      const index = Math.floor(random() * allowances.length);
      const partner = allowances[index]!;
      for (const [from, to] of [[own, partner], [partner, own]] as const) {
        from.limits.chooseUpdates(MAX_UPDATES).forEach(to.limits.applyUpdate);
        from.brittle.listUpdates(MAX_UPDATES).forEach(to.brittle.applyUpdate);
      }
    }
    clock.startTimer(EXCHANGE_INTERVAL, exchangeUpdates);
  }

  const states = Array.from({ length: load.entries }, createEntry);
  exchangeUpdates();
  return states;
}
