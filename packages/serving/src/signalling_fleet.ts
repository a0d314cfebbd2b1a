/**
 * Several entries before endpoints that ask for less or no work, on a fake clock
 * and without sockets. What reaches an endpoint is judged from its side.
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
import { createSignalNotes } from "./endpoint_signals.ts";
import { serveRequest } from "./request_service.ts";
import type { CallEndpoint, EndpointAnswer } from "./serving_handles.ts";
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

/** The load and the endpoints of a replay. */
export interface FleetLoad {
  entries: number;
  endpoints: number;
  /** Requests a second at all entries together. */
  perSecond: number;
  duration: Millis;
  /** The entries that one knows of; all if left out. */
  listKnown?: (
    entry: number,
    records: readonly PeerRecord[],
  ) => readonly PeerRecord[];
  /** What an endpoint says in an answer at a time. */
  readSignals: (endpoint: number, now: Millis) => EndpointSignals;
}

/** A request as it reached an endpoint. */
export interface FleetArrival {
  endpoint: number;
  entry: number;
  at: Millis;
  /** When its caller sent it. */
  sentAt: Millis;
  /** What the endpoint had told this entry by then, in order. */
  told: readonly ToldSignals[];
}

/** Signals as an endpoint told them to an entry. */
export interface ToldSignals extends EndpointSignals {
  at: Millis;
}

/** What a replay showed. */
export interface FleetReplay {
  arrivals: readonly FleetArrival[];
  sent: number;
  served: number;
  refusals: readonly FleetRefusal[];
}

/** A refusal as its caller got it. */
export interface FleetRefusal {
  at: Millis;
  took: Millis;
  /** When the caller is asked to come back; 0 if it is not told. */
  retryAfter: Millis;
}

/** Endpoints that speak, the first `count` of them, for a while. */
export interface SignalPlan {
  count: number;
  from: Millis;
  /** They speak to the end if it is left out. */
  until?: Millis;
}

const STEP: Millis = 10;
const MILLIS_PER_SECOND = 1_000;
const WORK_TIME: Millis = 60;
/** How many requests come again, at any entry, after a refusal. */
const COMES_AGAIN_SHARE = 0.5;
const COMES_AGAIN_AFTER: Millis = 300;
const EXCHANGE_INTERVAL: Millis = 500;
/** What one message carries of limits. */
const MAX_NEWS = 16;

/** Lets the first endpoints say the same in each answer for a while. */
export function createSignals(
  { count, from, until = Infinity }: SignalPlan,
  signals: EndpointSignals,
): FleetLoad["readSignals"] {
  return (endpoint, now) =>
    endpoint < count && now >= from && now < until ? signals : {};
}

/** Runs a load to its end. */
export async function runSignallingFleet(
  load: FleetLoad,
): Promise<FleetReplay> {
  const clock = createFakeClock(0);
  const engine = new Random(MersenneTwister19937.seed(load.entries));
  const random = () => engine.real(0, 1);
  const infos = Array.from(
    { length: load.endpoints },
    (_, number) => createTestEndpoint(`e${number}`),
  );
  const arrivals: FleetArrival[] = [];
  const refusals: FleetRefusal[] = [];
  const replay = { sent: 0, served: 0 };
  const states = createEntries(load, { clock, random, infos, arrivals });

  async function send(mayComeAgain: boolean): Promise<void> {
    const state = states[engine.integer(0, states.length - 1)]!;
    state.configAge.noteConfirmed(state.configAge.readTime());
    const receivedAt = clock.now();
    const { response, seen } = createRecordedResponse();
    response.refuse = ({ retryAfterMs: retryAfter = 0 }) => {
      const at = clock.now();
      refusals.push({ at, took: at - receivedAt, retryAfter });
    };
    const head = createTestHead({ id: `request-${replay.sent}` });
    await serveRequest(state, {
      request: { head, body: Buffer.from(String(receivedAt)) },
      response,
      receivedAt,
    });
    if (seen[0]?.startsWith("200")) replay.served++;
    else if (mayComeAgain && random() < COMES_AGAIN_SHARE) {
      await clock.sleep(COMES_AGAIN_AFTER);
      await send(false);
    }
  }

  const pending: Promise<void>[] = [];
  while (clock.now() < load.duration) {
    await clock.advance(STEP);
    const due = load.perSecond * clock.now() / MILLIS_PER_SECOND;
    for (; replay.sent < due; replay.sent++) pending.push(send(true));
  }
  await clock.advance(2 * COMES_AGAIN_AFTER + 4 * WORK_TIME);
  await Promise.all(pending);
  return { ...replay, arrivals, refusals };
}

interface FleetParts {
  clock: FakeClock;
  random: () => number;
  infos: readonly EndpointInfo[];
  arrivals: FleetArrival[];
}

function createEntries(
  load: FleetLoad,
  { clock, random, infos, arrivals }: FleetParts,
): ServingState[] {
  const table = createTestTable([createTestRoute({ isPublic: true })]);
  const records = Array.from(
    { length: load.entries },
    (_, number) => createTestPeer(`entry-${number}`),
  );
  const allowances: EntryAllowance[] = [];

  function createEntry(_: unknown, entry: number): ServingState {
    const directory = createEndpointDirectory({ clock, markLifetime: 1_000 });
    directory.replaceAll(infos);
    const toldBy = new Map<number, ToldSignals[]>();
    const callEndpoint: CallEndpoint = async ({ endpoint, request }) => {
      const number = infos.findIndex(({ id }) => id === endpoint.id);
      arrivals.push({
        endpoint: number,
        entry,
        at: clock.now(),
        sentAt: Number(request.body),
        told: [...toldBy.get(number) ?? []],
      });
      const isTurnedAway =
        load.readSignals(number, clock.now()).pause !== undefined;
      await clock.sleep(isTurnedAway ? 1 : WORK_TIME);
      const signals = load.readSignals(number, clock.now());
      if (Object.keys(signals).length > 0) {
        const told = toldBy.get(number) ?? [];
        toldBy.set(number, [...told, { ...signals, at: clock.now() }]);
      }
      return isTurnedAway
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
      suspectAfter: Infinity,
      loseAfter: Infinity,
    });
    membership.merge(load.listKnown?.(entry, records) ?? records);
    const entryAllowance = createEntryAllowance({
      clock,
      random,
      entry: membership.self.entry,
      listMembers: () => listSendingMembers(membership),
      directory,
      isFed: () => false,
    });
    allowances[entry] = entryAllowance;
    const state = createTestState(clock, {
      membership,
      directory,
      readTable: () => table,
      callEndpoint,
      sendAllowance: entryAllowance.allowance,
    });
    state.noteSignals = createSignalNotes({
      log: createSilentDecisionLog(),
      metrics: state.metrics,
      limits: entryAllowance.limits,
      pauses: entryAllowance.pauses,
      directory,
      listAt: () => [],
    });
    return state;
  }

  /** Each entry exchanges news with one other, drawn at random. */
  function exchangeNews(): void {
    for (const { limits } of allowances) {
      const index = Math.floor(random() * allowances.length);
      const partner = allowances[index]!.limits;
      limits.chooseNews(MAX_NEWS).forEach(partner.takeNews);
      partner.chooseNews(MAX_NEWS).forEach(limits.takeNews);
    }
    clock.startTimer(EXCHANGE_INTERVAL, exchangeNews);
  }

  const states = Array.from({ length: load.entries }, createEntry);
  exchangeNews();
  return states;
}
