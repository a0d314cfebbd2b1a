/**
 * Several entries before endpoints that name limits, on a fake clock and without
 * sockets. What reaches an endpoint is judged from its side.
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
import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { MersenneTwister19937, Random } from "random-js";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createSignalNotes } from "./endpoint_signals.ts";
import { serveRequest } from "./request_service.ts";
import type { CallEndpoint } from "./serving_handles.ts";
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
export interface LimitedLoad {
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
  /** The limit that an endpoint names at a time, if any. */
  readLimit: (endpoint: number, now: Millis) => number | undefined;
}

/** A request as it reached an endpoint. */
export interface LimitedArrival {
  endpoint: number;
  entry: number;
  at: Millis;
  /** When this entry was first told of the endpoint's limit. */
  toldAt: Millis;
}

/** What a replay showed. */
export interface LimitedReplay {
  arrivals: readonly LimitedArrival[];
  sent: number;
  served: number;
  /** The longest time until a request was refused. */
  slowestRefusal: Millis;
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

/** Runs a load to its end. */
export async function runLimitedFleet(
  load: LimitedLoad,
): Promise<LimitedReplay> {
  const clock = createFakeClock(0);
  const engine = new Random(MersenneTwister19937.seed(load.entries));
  const random = () => engine.real(0, 1);
  const infos = Array.from(
    { length: load.endpoints },
    (_, number) => createTestEndpoint(`e${number}`),
  );
  const arrivals: LimitedArrival[] = [];
  const replay = { sent: 0, served: 0, slowestRefusal: 0 };
  const states = createEntries(load, { clock, random, infos, arrivals });

  async function send(mayComeAgain: boolean): Promise<void> {
    const state = states[engine.integer(0, states.length - 1)]!;
    state.configAge.noteConfirmed(state.configAge.readTime());
    const receivedAt = clock.now();
    const { response, seen } = createRecordedResponse();
    const head = createTestHead({ id: `request-${replay.sent}` });
    await serveRequest(state, {
      request: { head, body: Buffer.from("") },
      response,
      receivedAt,
    });
    if (seen[0]?.startsWith("200")) replay.served++;
    else {
      const took = clock.now() - receivedAt;
      replay.slowestRefusal = Math.max(replay.slowestRefusal, took);
      if (!mayComeAgain || random() > COMES_AGAIN_SHARE) return;
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
  return { ...replay, arrivals };
}

interface FleetParts {
  clock: FakeClock;
  random: () => number;
  infos: readonly EndpointInfo[];
  arrivals: LimitedArrival[];
}

function createEntries(
  load: LimitedLoad,
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
    const toldAt = new Map<number, Millis>();
    const callEndpoint: CallEndpoint = async ({ endpoint }) => {
      const number = infos.findIndex(({ id }) => id === endpoint.id);
      arrivals.push({
        endpoint: number,
        entry,
        at: clock.now(),
        toldAt: toldAt.get(number) ?? Infinity,
      });
      await clock.sleep(WORK_TIME);
      const rateLimit = load.readLimit(number, clock.now());
      const signals: EndpointSignals = rateLimit === undefined
        ? {}
        : { rateLimit };
      if (rateLimit !== undefined && !toldAt.has(number)) {
        toldAt.set(number, clock.now());
      }
      return Result.ok({ ...createTestReply(["x"]), signals });
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
