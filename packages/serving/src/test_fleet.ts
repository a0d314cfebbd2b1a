/**
 * Simulates several entries and endpoints that crash and restart, on a fake
 * clock and without sockets; for tests of state that entries share.
 *
 * @module
 */
import type { EndpointInfo, Route } from "@mangoreach/coordination";
import {
  createEndpointDirectory,
  createPoisonQuarantine,
  createRecentCompletions,
  formatEndpointKey,
} from "@mangoreach/coordination";
import type { FakeClock, HttpFault, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointReplacement } from "./endpoint_replacement.ts";
import { createEndpointCheck } from "./endpoint_check.ts";
import type { QuarantineGossip } from "./quarantine_gossip.ts";
import { createQuarantineGossip } from "./quarantine_gossip.ts";
import type { QuarantineRecord, QuarantineStore } from "./quarantine_store.ts";
import { serveRequest } from "./request_service.ts";
import { createCrashDetector } from "./crash_detector.ts";
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

/** A body, or a part of a prompt, that crashes each endpoint which runs it. */
export const CRASHING = "crashing";
/** Begins the parts that crash each endpoint which runs them. */
const CRASHING_PART = "bad";
/** Time that an endpoint works on a request, until it answers or crashes. */
export const WORK_TIME: Millis = 50;
/** A crashed endpoint is restarted after this time. */
export const RESTART_TIME: Millis = 3_000;
const EXCHANGE_INTERVAL: Millis = 500;

/** Options of {@linkcode createTestFleet}. */
export interface TestFleetOptions {
  clock: FakeClock;
  entries: number;
  endpoints: number;
  route?: Partial<Route>;
}

/** One arrival of a request. */
export interface Arrival {
  /** The number of the entry that receives it. */
  entry: number;
  body: string;
  /** Ids of the parts of its prompt. */
  parts?: readonly string[];
}

/** The outcome of an arrival. */
export interface ArrivalOutcome {
  /** What the caller received, in order. */
  seen: string[];
  took: Millis;
}

/** Simulated entries and endpoints. */
export interface TestFleet {
  /** Sends a request under a new id; resolves with its outcome. */
  send(arrival: Arrival): Promise<ArrivalOutcome>;
  /** Lists the keys of the endpoints that this body reached, in order. */
  listReached(body: string): readonly string[];
  /** The same for a part of a prompt. */
  listReachedByPart(part: string): readonly string[];
  /** Kills some endpoints at once, whatever they work on. */
  killEndpoints(count: number): void;
  /** Restarts all entries; they load the records of the store. */
  restartEntries(): void;
  /** A store that is down rejects writes. */
  setStoreDown(isDown: boolean): void;
}

interface RunningCall {
  endpointKey: string;
  cut: () => void;
}

/** Creates the fleet; all endpoints are running and known to all entries. */
export function createTestFleet(
  { clock, entries, endpoints, route = {} }: TestFleetOptions,
): TestFleet {
  let runningEndpoints = Array.from(
    { length: endpoints },
    (_, number) => createTestEndpoint(`e${number}`),
  );
  const directory = createEndpointDirectory({ clock, markTtl: 1_000 });
  directory.replaceAll(runningEndpoints);
  const running = new Set<RunningCall>();
  const reached: { body: string; parts: string[]; endpointKey: string }[] = [];
  const table = createTestTable([
    createTestRoute({ isPublic: true, ...route }),
  ]);
  let requestCount = 0;

  function isListening(endpoint: EndpointInfo): boolean {
    const key = formatEndpointKey(endpoint);
    return runningEndpoints.some((other) => formatEndpointKey(other) === key);
  }

  function killEndpoint(endpoint: EndpointInfo): void {
    if (!isListening(endpoint)) return;
    const key = formatEndpointKey(endpoint);
    runningEndpoints = runningEndpoints.filter((other) =>
      formatEndpointKey(other) !== key
    );
    for (const call of [...running]) {
      if (call.endpointKey === key) call.cut();
    }
    clock.startTimer(RESTART_TIME, () => {
      const incarnation = String(Number(endpoint.incarnation) + 1);
      runningEndpoints = [...runningEndpoints, { ...endpoint, incarnation }];
      directory.replaceAll(runningEndpoints);
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
    const parts = request.head.promptParts.map(({ id }) => id);
    const isCrashing = body === CRASHING ||
      parts.some((part) => part.startsWith(CRASHING_PART));
    reached.push({ body, parts, endpointKey });
    return new Promise((resolve) => {
      const finish = (answer: Result<EndpointAnswer, HttpFault>) => {
        running.delete(call);
        stop();
        resolve(answer);
      };
      const call: RunningCall = {
        endpointKey,
        cut: () =>
          finish(Result.err({ kind: "cut", sent: "maybe", message: "closed" })),
      };
      running.add(call);
      const stop = clock.startTimer(WORK_TIME, () => {
        if (isCrashing) killEndpoint(endpoint);
        else finish(Result.ok(createTestReply([body])));
      });
    });
  };

  /** The records of the store. */
  const records = new Map<string, QuarantineRecord>();
  let isStoreDown = false;
  const gossips: QuarantineGossip[] = [];
  const peers = Array.from(
    { length: entries },
    (_, number) => createTestPeer(String(number)),
  );

  const store: QuarantineStore = {
    publish(quarantined) {
      const { content } = quarantined;
      return writeStore(content, { kind: "quarantine", content, quarantined });
    },
    remove: (content) =>
      writeStore(content, {
        kind: "quarantine",
        content,
        quarantined: undefined,
      }),
    writeCrash: (record) =>
      writeStore(`${record.entry}/${record.slot}`, { kind: "crash", record }),
    decode: ({ key }) => records.get(key),
  };

  function writeStore(key: string, record: QuarantineRecord) {
    if (isStoreDown) return Promise.resolve(Result.err<null, string>("down"));
    records.set(key, record);
    gossips.forEach((entry) => entry.applyRecords([{ key, value: undefined }]));
    return Promise.resolve(Result.ok<null, string>(null));
  }

  /** Each entry gossips with one other, in turn. */
  function exchangeUpdates(round: number): void {
    gossips.forEach((entry, number) => {
      const partner = gossips[(number + 1 + round % (entries - 1)) % entries]!;
      const [mine, theirs] = [entry.readUpdate(), partner.readUpdate()];
      if (mine !== undefined) partner.applyUpdate(mine);
      if (theirs !== undefined) entry.applyUpdate(theirs);
    });
    clock.startTimer(EXCHANGE_INTERVAL, () => exchangeUpdates(round + 1));
  }

  function createEntry(_: unknown, number: number): ServingState {
    const log = createSilentDecisionLog();
    const quarantine = createPoisonQuarantine(clock);
    const quarantineGossip = createQuarantineGossip({
      clock,
      readWallTime: clock.now,
      random: () => 0.5,
      log,
      quarantine,
      completions: createRecentCompletions(clock),
      store,
      membership: {
        self: peers[number]!,
        list: () =>
          peers.filter((_, other) => other !== number)
            .map((record) => ({ record, age: 0, health: "alive" })),
      },
      report: (address, report) =>
        Promise.resolve(gossips[Number(address)]!.answer(report)),
      checkCauses: (address, query) =>
        Promise.resolve(gossips[Number(address)]!.answerCauses(query)),
      signal: new AbortController().signal,
    });
    gossips[number] = quarantineGossip;
    quarantineGossip.applyRecords(
      [...records.keys()].map((key) => ({ key, value: undefined })),
    );
    const state = createTestState(clock, {
      log,
      directory,
      readTable: () => table,
      callEndpoint,
      crashDetector: createCrashDetector({
        clock,
        log,
        endpointCheck: createEndpointCheck({
          clock,
          checkListening: (address) =>
            Promise.resolve(
              runningEndpoints.some((other) => other.address === address)
                ? "listening"
                : "refused",
            ),
        }),
        replacement: createEndpointReplacement({
          clock,
          listAt: (address) =>
            runningEndpoints.filter((other) => other.address === address),
          isLeaving: directory.isLeaving,
          signal: new AbortController().signal,
        }),
        quarantine,
        gossip: quarantineGossip,
      }),
    });
    return state;
  }

  let states = Array.from({ length: entries }, createEntry);
  exchangeUpdates(0);

  async function send(
    { entry, body, parts = [] }: Arrival,
  ): Promise<ArrivalOutcome> {
    const startedAt = clock.now();
    const state = states[entry]!;
    state.configAge.recordConfirmed(state.configAge.readTime());
    const { response, seen } = createRecordedResponse();
    await serveRequest(state, {
      request: {
        head: createTestHead({
          id: `request-${++requestCount}`,
          promptParts: parts.map((id) => ({ id, tokens: 100 })),
        }),
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
    listReachedByPart: (part) =>
      reached.filter(({ parts }) => parts.includes(part))
        .map(({ endpointKey }) => endpointKey),
    killEndpoints: (count) =>
      runningEndpoints.slice(0, count).forEach(killEndpoint),
    restartEntries() {
      states = Array.from({ length: entries }, createEntry);
    },
    setStoreDown(isDown) {
      isStoreDown = isDown;
    },
  };
}
