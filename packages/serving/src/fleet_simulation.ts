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
  listSendingMembers,
} from "@mangoreach/coordination";
import type { FakeClock, HttpFault, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { MersenneTwister19937, Random } from "random-js";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
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
  /** Lists the entries that an entry knows; all of them by default. */
  listKnownEntries?: (
    entry: number,
    records: readonly PeerRecord[],
  ) => readonly PeerRecord[];
  /** Returns the signals in a reply of an endpoint at a time. */
  readSignals: (endpoint: number, now: Millis) => EndpointSignals;
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
  const infos = Array.from(
    { length: load.endpoints },
    (_, number) => createTestEndpoint(`e${number}`),
  );
  const arrivals: FleetArrival[] = [];
  const refusals: FleetRefusal[] = [];
  const totals = { sent: 0, served: 0 };
  const states = createEntries(load, { clock, random, infos, arrivals });

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
    const due = load.perSecond * clock.now() / MILLIS_PER_SECOND;
    for (; totals.sent < due; totals.sent++) pending.push(send(true));
  }
  await clock.advance(2 * RETRY_DELAY + 4 * WORK_TIME);
  await Promise.all(pending);
  return { ...totals, arrivals, refusals };
}

interface EntryOptions {
  clock: FakeClock;
  random: () => number;
  infos: readonly EndpointInfo[];
  arrivals: FleetArrival[];
}

function createEntries(
  load: FleetLoad,
  { clock, random, infos, arrivals }: EntryOptions,
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
      lostTimeout: Infinity,
    });
    membership.merge(load.listKnownEntries?.(entry, records) ?? records);
    const entryAllowance = createEntryAllowance({
      clock,
      random,
      entry: membership.self.entry,
      listMembers: () => listSendingMembers(membership),
      directory,
      isDispatched: () => false,
    });
    allowances[entry] = entryAllowance;
    const state = createTestState(clock, {
      membership,
      directory,
      readTable: () => table,
      callEndpoint,
      sendAllowance: entryAllowance.allowance,
    });
    state.handleSignals = createSignalHandler({
      log: createSilentDecisionLog(),
      metrics: state.metrics,
      limits: entryAllowance.limits,
      pauses: entryAllowance.pauses,
      directory,
      listAt: () => [],
    });
    return state;
  }

  /** Each entry exchanges limit updates with one other, chosen at random. */
  function exchangeUpdates(): void {
    for (const { limits } of allowances) {
      const index = Math.floor(random() * allowances.length);
      const partner = allowances[index]!.limits;
      limits.chooseUpdates(MAX_UPDATES).forEach(partner.applyUpdate);
      partner.chooseUpdates(MAX_UPDATES).forEach(limits.applyUpdate);
    }
    clock.startTimer(EXCHANGE_INTERVAL, exchangeUpdates);
  }

  const states = Array.from({ length: load.entries }, createEntry);
  exchangeUpdates();
  return states;
}
