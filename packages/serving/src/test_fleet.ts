/**
 * Several entries before engines that end and come back, on a fake clock and
 * without sockets; for tests of what entries must know together.
 *
 * @module
 */
import type {
  EndpointInfo,
  QuarantinedContent,
  Route,
} from "@mangoreach/coordination";
import {
  createEndpointDirectory,
  createPoisonQuarantine,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type { FakeClock, HttpFault, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointCheck } from "./endpoint_check.ts";
import type { QuarantineNews } from "./quarantine_news.ts";
import { createQuarantineNews } from "./quarantine_news.ts";
import type { QuarantineStore } from "./quarantine_store.ts";
import { serveRequest } from "./request_service.ts";
import { createRunWatch } from "./run_watch.ts";
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

/** A body that ends each endpoint which begins to work on it. */
export const CRASHING = "crashing";
/** From reaching an endpoint until it ends, or until other work is done. */
export const WORK_TIME: Millis = 50;
/** An endpoint that has ended is replaced after this. */
export const RESTART_TIME: Millis = 3_000;
const EXCHANGE_INTERVAL: Millis = 500;

/** Options of {@linkcode createTestFleet}. */
export interface TestFleetOptions {
  clock: FakeClock;
  entries: number;
  endpoints: number;
  route?: Partial<Route>;
}

/** One coming of a request. */
export interface Coming {
  /** The number of the entry that it comes to. */
  entry: number;
  body: string;
}

/** What became of it. */
export interface ComingEnd {
  /** What the caller got, in order. */
  seen: string[];
  took: Millis;
}

/** Entries and endpoints. */
export interface TestFleet {
  /** Sends a request under a new id; resolves with its end. */
  send(coming: Coming): Promise<ComingEnd>;
  /** Keys of endpoints that work with this body reached, in order. */
  listReached(body: string): readonly string[];
  /** Ends some endpoints at once, whatever they work on. */
  endEndpoints(count: number): void;
  /** Starts all entries again; they know what the store knows. */
  restartEntries(): void;
  /** While it is away the store takes nothing. */
  setStoreAway(isAway: boolean): void;
}

interface RunningCall {
  endpointKey: string;
  breakOff: () => void;
}

/** Creates the fleet; all endpoints are live and known to all entries. */
export function createTestFleet(
  { clock, entries, endpoints, route = {} }: TestFleetOptions,
): TestFleet {
  let live = Array.from(
    { length: endpoints },
    (_, number) => createTestEndpoint(`e${number}`),
  );
  const directory = createEndpointDirectory({ clock, markLifetime: 1_000 });
  directory.replaceAll(live);
  const running = new Set<RunningCall>();
  const reached: { body: string; endpointKey: string }[] = [];
  const table = createTestTable([
    createTestRoute({ isPublic: true, ...route }),
  ]);
  let comings = 0;

  function isListening(endpoint: EndpointInfo): boolean {
    const key = formatEndpointKey(endpoint);
    return live.some((other) => formatEndpointKey(other) === key);
  }

  function endEndpoint(endpoint: EndpointInfo): void {
    if (!isListening(endpoint)) return;
    const key = formatEndpointKey(endpoint);
    live = live.filter((other) => formatEndpointKey(other) !== key);
    for (const call of [...running]) {
      if (call.endpointKey === key) call.breakOff();
    }
    clock.startTimer(RESTART_TIME, () => {
      const incarnation = String(Number(endpoint.incarnation) + 1);
      live = [...live, { ...endpoint, incarnation }];
      directory.replaceAll(live);
    });
  }

  const callEndpoint: CallEndpoint = ({ endpoint, request }) => {
    if (!isListening(endpoint)) {
      return Promise.resolve(Result.err<EndpointAnswer, HttpFault>({
        kind: "unreachable",
        sent: "no",
        message: "refused",
      }));
    }
    const endpointKey = formatEndpointKey(endpoint);
    const body = request.body.toString();
    reached.push({ body, endpointKey });
    return new Promise((resolve) => {
      const finish = (answer: Result<EndpointAnswer, HttpFault>) => {
        running.delete(call);
        stop();
        resolve(answer);
      };
      const call: RunningCall = {
        endpointKey,
        breakOff: () =>
          finish(Result.err({ kind: "cut", sent: "maybe", message: "closed" })),
      };
      running.add(call);
      const stop = clock.startTimer(WORK_TIME, () => {
        if (body === CRASHING) endEndpoint(endpoint);
        else finish(Result.ok(createTestReply([body])));
      });
    });
  };

  /** The store's records, and the entries that follow them. */
  const records = new Map<string, QuarantinedContent>();
  let isStoreAway = false;
  const news: QuarantineNews[] = [];
  const peers = Array.from(
    { length: entries },
    (_, number) => createTestPeer(String(number)),
  );

  const store: QuarantineStore = {
    announce: (quarantined) =>
      writeStore(
        quarantined.content,
        () => records.set(quarantined.content, quarantined),
      ),
    withdraw: (content) => writeStore(content, () => records.delete(content)),
    decode: ({ key }) => ({ content: key, quarantined: records.get(key) }),
  };

  function writeStore(content: string, write: () => void) {
    if (isStoreAway) return Promise.resolve(Result.err<null, string>("away"));
    write();
    const record = { key: content, value: undefined };
    news.forEach((entry) => entry.takeRecords([record]));
    return Promise.resolve(Result.ok<null, string>(null));
  }

  /** Each entry exchanges what it knows with one other, in turn. */
  function exchangeNews(round: number): void {
    news.forEach((entry, number) => {
      const partner = news[(number + 1 + round % (entries - 1)) % entries]!;
      const [mine, theirs] = [entry.readNews(), partner.readNews()];
      if (mine !== undefined) partner.takeNews(mine);
      if (theirs !== undefined) entry.takeNews(theirs);
    });
    clock.startTimer(EXCHANGE_INTERVAL, () => exchangeNews(round + 1));
  }

  function createEntry(_: unknown, number: number): ServingState {
    const log = createSilentDecisionLog();
    const quarantine = createPoisonQuarantine(clock);
    const quarantineNews = createQuarantineNews({
      clock,
      random: () => 0.5,
      log,
      quarantine,
      store,
      membership: {
        self: peers[number]!,
        list: () =>
          peers.filter((_, other) => other !== number)
            .map((record) => ({ record, age: 0, health: "alive" })),
      },
      report: (address, report) =>
        Promise.resolve(news[Number(address)]!.answer(report)),
      signal: new AbortController().signal,
    });
    news[number] = quarantineNews;
    quarantineNews.takeRecords(
      [...records.keys()].map((key) => ({ key, value: undefined })),
    );
    const state = createTestState(clock, {
      log,
      directory,
      readTable: () => table,
      callEndpoint,
      runWatch: createRunWatch({
        clock,
        log,
        endpointCheck: createEndpointCheck({
          clock,
          checkListening: (address) =>
            Promise.resolve(
              live.some((other) => other.address === address)
                ? "listening"
                : "refused",
            ),
        }),
        quarantine,
        news: quarantineNews,
      }),
    });
    return state;
  }

  let states = Array.from({ length: entries }, createEntry);
  exchangeNews(0);

  async function send({ entry, body }: Coming): Promise<ComingEnd> {
    const startedAt = clock.now();
    const state = states[entry]!;
    state.configAge.noteConfirmed(state.configAge.readTime());
    const { response, seen } = createRecordedResponse();
    await serveRequest(state, {
      request: {
        head: createTestHead({ id: `request-${++comings}` }),
        body: Buffer.from(body),
      },
      response,
      receivedAt: startedAt,
    });
    return { seen, took: clock.now() - startedAt };
  }

  return {
    send,
    listReached: (body) =>
      reached.filter((run) => run.body === body)
        .map(({ endpointKey }) => endpointKey),
    endEndpoints: (count) => live.slice(0, count).forEach(endEndpoint),
    restartEntries() {
      states = Array.from({ length: entries }, createEntry);
    },
    setStoreAway(isAway) {
      isStoreAway = isAway;
    },
  };
}
