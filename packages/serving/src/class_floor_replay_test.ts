import type { BatchSpec, Route } from "@mangoreach/coordination";
import {
  createElapsedEstimator,
  createRetryBudget,
  createRouteTable,
} from "@mangoreach/coordination";
import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createEndpointLoads } from "./endpoint_load.ts";
import type { StageEndpoints } from "./platform_interfaces.ts";
import type { PieceRouter } from "./piece_router.ts";
import { serveRequest } from "./request_service.ts";
import type { ServingState } from "./serving_state.ts";
import type {
  StageDispatcher,
  StageDispatcherOptions,
} from "./stage_dispatcher.ts";
import { createStageDispatcher } from "./stage_dispatcher.ts";
import {
  createOpenAllowance,
  createRecordedResponse,
  createTestEndpoint,
  createTestHead,
  createTestReply,
  createTestRoute,
  createTestState,
} from "./test_support.ts";

/**
 * A class whose requests pass up to three stage pools in a row and an engine. They
 * run through the whole of serveRequest, at several entries; for half of the time
 * there are more of them.
 */
interface ClassLoad {
  name: string;
  /** 0 is the highest. */
  priority: number;
  perSecond: number;
  objective: Millis;
  deadline: Millis;
  stages: Route["stages"];
  pieces: readonly number[];
  /** Worth of a late answer, as a share of one in time. */
  lateWorth: number;
}

const ENTRIES = 8;
const ENDPOINTS_PER_POOL = 3;
const LENGTH: Millis = 12_000;
const STEP: Millis = 20;
const BURST = { from: 2_000, until: 8_000, factor: 1.6 };
const SECOND: Millis = 1_000;
const ENGINE_TIME: Millis = 80;
/** Callers of one class wait less long than the most patient by this share. */
const PATIENCE_SPREAD = 0.15;
const MIN_RETRY_DELAY: Millis = 300;
const LONG_TEST_MS = 60_000;
/** The share of what is owed to a class that it has to earn. */
const CLASS_FLOOR = 0.34;
/** A more urgent class may earn a smaller share than another by this much. */
const MAX_INVERSION = 0.15;

const POOLS: Readonly<Record<string, BatchSpec>> = {
  encoders: createSpec(22, 7.8, 56_000_000),
  retrievers: createSpec(53, 3.2, 7_000_000),
  rerankers: createSpec(66, 2.6, 900_000),
};

const CHAIN = [
  { pool: "encoders", after: [], resultBytes: 8_000 },
  { pool: "retrievers", after: [0], resultBytes: 60_000 },
  { pool: "rerankers", after: [1], resultBytes: 6_000 },
];

const CLASSES: readonly ClassLoad[] = [
  {
    name: "first",
    priority: 0,
    perSecond: 30,
    objective: 800,
    deadline: 5_000,
    stages: [{ pool: "encoders", after: [], resultBytes: 1_500_000 }],
    pieces: [2],
    lateWorth: 0.06,
  },
  {
    name: "tight",
    priority: 1,
    perSecond: 7,
    objective: 1_500,
    deadline: 15_000,
    stages: CHAIN,
    pieces: [1, 6, 10],
    lateWorth: 0.15,
  },
  {
    name: "ample",
    priority: 2,
    perSecond: 32,
    objective: 4_000,
    deadline: 6_000,
    stages: CHAIN,
    pieces: [1, 6, 10],
    lateWorth: 0.23,
  },
];

function createSpec(
  maxPieces: number,
  pieceTime: Millis,
  storageBytes: number,
): BatchSpec {
  const common = { slots: 1, callTime: 200, resultLifetime: 4_000 };
  return { ...common, maxPieces, pieceTime, storageBytes };
}

/** Stage endpoints whose calls take as long as the pool's specification says. */
function createTimedStages(clock: FakeClock, spec: BatchSpec): StageEndpoints {
  return {
    run: async ({ endpoint, pieces }) => {
      await clock.sleep(spec.callTime + pieces.length * spec.pieceTime);
      return Result.ok({
        kind: "results",
        results: pieces.map(({ requestId, stage, piece }) => ({
          kind: "done",
          result: `${endpoint.id}/${requestId}.${stage}.${piece}`,
        })),
      });
    },
    release: () => Promise.resolve({}),
    findProducer: (result) => result.split("/")[0] ?? "",
  };
}

function createPoolDispatcher(
  pool: string,
  { clock, releaseInputs }:
    & Pick<
      StageDispatcherOptions,
      "clock" | "releaseInputs"
    >
    & { clock: FakeClock },
): StageDispatcher {
  const spec = POOLS[pool]!;
  const endpoints = Array.from(
    { length: ENDPOINTS_PER_POOL },
    (_, number) => createTestEndpoint(`${pool}-${number}`, { pool }),
  );
  return createStageDispatcher({
    clock,
    log: createSilentDecisionLog(),
    pool,
    stages: createTimedStages(clock, spec),
    loads: createEndpointLoads(clock),
    listEndpoints: () => endpoints,
    markLeaving: () => {},
    handleSignals: () => {},
    allowance: createOpenAllowance(),
    listAt: () => [],
    endpointCheck: { checkCondition: () => Promise.resolve("listening") },
    readSpec: () => spec,
    budget: createRetryBudget({ share: 0.1, max: 100 }),
    releaseInputs,
  });
}

function createRouter(clock: FakeClock): PieceRouter {
  const find = (pool: string) => dispatchers.get(pool)!;
  const releaseInputs = (pool: string, results: readonly string[]) =>
    find(pool).release(results);
  const dispatchers = new Map(
    Object.keys(POOLS).map((pool) => [
      pool,
      createPoolDispatcher(pool, { clock, releaseInputs }),
    ]),
  );
  return {
    run: async (work, signal) =>
      Result.ok(
        await find(work.pool).run({ ...work, partition: "" }, signal),
      ),
    readWaits: ({ pool, priority, account }) =>
      Promise.resolve(find(pool).readWaits(priority, account)),
    release: (pool, results) => find(pool).release(results),
  };
}

function createTable() {
  return createRouteTable({
    version: 1,
    routes: CLASSES.map((load) =>
      createTestRoute({
        ...load,
        pathPrefix: `/${load.name}/`,
        kind: "stream",
        timeout: load.deadline,
        isPublic: true,
        stages: load.stages,
      })
    ),
    pools: Object.entries(POOLS).map(([name, batching]) => ({
      name,
      batching,
    })) as never,
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
    accounts: undefined,
  });
}

function createEntries(clock: FakeClock, random: Random): ServingState[] {
  const router = createRouter(clock);
  const table = createTable();
  return Array.from({ length: ENTRIES }, () => {
    const state = createTestState(clock, {
      readTable: () => table,
      router,
      random: () => random.realZeroToOneExclusive(),
      callerElapsed: createElapsedEstimator(clock),
      callEndpoint: async () => {
        await clock.sleep(ENGINE_TIME);
        return Result.ok(createTestReply(["id: 1\n\n"]));
      },
    });
    state.directory.replaceAll([createTestEndpoint("engine")]);
    return state;
  });
}

interface Earned {
  owed: number;
  inAim: number;
  late: number;
  share: number;
}

/** Replays the load; returns what each class earned of what it was owed. */
async function replay(seed: number): Promise<Record<string, Earned>> {
  const clock = createFakeClock(0);
  const random = new Random(MersenneTwister19937.seed(seed));
  const entries = createEntries(clock, random);
  const earned: Record<string, Earned> = {};
  let count = 0;

  async function send(
    load: ClassLoad,
    { firstAt, deadlineAt, mayRetry }: {
      firstAt: Millis;
      deadlineAt: Millis;
      mayRetry: boolean;
    },
  ): Promise<void> {
    const state = entries[random.integer(0, ENTRIES - 1)]!;
    state.configAge.recordConfirmed(state.configAge.readTime());
    const { response } = createRecordedResponse();
    let retryAfter: Millis | undefined;
    let startedAt: Millis | undefined;
    response.refuse = ({ retryAfterMs = 0 }) => retryAfter = retryAfterMs;
    response.startStream = () => void (startedAt ??= clock.now());
    response.sendBuffered = () => void (startedAt ??= clock.now());
    const head = createTestHead({
      id: `request-${count++}`,
      target: `/${load.name}/x`,
      budget: deadlineAt - clock.now(),
      pieceCounts: load.pieces,
    });
    await serveRequest(state, {
      request: { head, body: Buffer.alloc(0) },
      response,
      receivedAt: clock.now(),
    });
    const result = earned[load.name]!;
    if (startedAt !== undefined) {
      if (startedAt - firstAt <= load.objective) result.inAim++;
      else result.late++;
      return;
    }
    const wait = Math.max(MIN_RETRY_DELAY, retryAfter ?? 0);
    const isInTime = wait < (deadlineAt - clock.now()) / 3;
    if (!mayRetry || !isInTime) return;
    await clock.sleep(wait);
    await send(load, { firstAt, deadlineAt, mayRetry: false });
  }

  for (const { name } of CLASSES) {
    earned[name] = { owed: 0, inAim: 0, late: 0, share: 0 };
  }
  while (clock.now() < LENGTH) {
    await clock.advance(STEP);
    const now = clock.now();
    const isBurst = now >= BURST.from && now < BURST.until;
    for (const load of CLASSES) {
      const rate = load.perSecond * (isBurst ? BURST.factor : 1);
      if (random.realZeroToOneExclusive() >= rate * STEP / SECOND) continue;
      earned[load.name]!.owed++;
      const patience = random.real(1 - PATIENCE_SPREAD, 1);
      const deadlineAt = now + patience * load.deadline;
      void send(load, { firstAt: now, deadlineAt, mayRetry: true });
    }
  }
  await clock.advance(Math.max(...CLASSES.map(({ deadline }) => deadline)));
  for (const load of CLASSES) {
    const result = earned[load.name]!;
    result.share = (result.inAim + load.lateWorth * result.late) / result.owed;
  }
  return earned;
}

describe("shares that classes earn, in a replay", () => {
  // Guards against a class that misses its floor because its requests count as
  // late before their first stage.
  it("are above their floors although callers differ in patience", async () => {
    const { first, tight, ample } = await replay(72);
    for (const { share } of [first!, tight!, ample!]) {
      expect(share).to.be.greaterThan(CLASS_FLOOR);
    }
    expect(tight!.share).to.be.greaterThan(ample!.share - MAX_INVERSION);
    expect(first!.share).to.be.greaterThan(tight!.share - MAX_INVERSION);
  }).timeout(LONG_TEST_MS);
});
