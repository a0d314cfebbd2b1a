import type { Clock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import { createEndpointHealth, ejectSlowest } from "../endpoint_health.ts";
import type { WaitingPiece } from "../piece_batcher.ts";
import { createPieceBatcher } from "../piece_batcher.ts";
import { createPieceRates } from "../piece_rates.ts";
import { computeFullCall } from "../serving_config.ts";
import type { EndpointSpeeds } from "./endpoint_speeds.ts";
import { createEndpointSpeeds } from "./endpoint_speeds.ts";

const SPEC = {
  slots: 1,
  maxPieces: 22,
  callTime: 200,
  pieceTime: 7.8,
  storageBytes: 56_000_000,
  resultLifetime: 4_000,
};
const RESULT_BYTES = 600_000;
/** How long results are stored after their call. */
const STORED_FOR = 400;
const NOISE = 0.1;
const LENGTH = 40_000;
const SEEDS = [1, 2, 3, 4];
/** Pieces that arrive outside of this period are not counted. */
const COUNTED = { from: 3_000, until: 30_000 };
const MAX_GROUP = 4;
/** The share of the requests, objective and deadline of each priority. */
const CLASSES = [
  { share: 0.3, onTime: 900, due: 5_000 },
  { share: 0.4, onTime: 1_500, due: 6_000 },
  { share: 0.3, onTime: 4_000, due: 15_000 },
];

interface Load {
  /** Time of a call at each endpoint, relative to the specification. */
  ratios: readonly number[];
  /** Share of the real capacity that arrives. */
  share: number;
  seed: number;
  /** An endpoint that is five times slower for five seconds. */
  disturbed?: number;
  /** Time to the objective of the most urgent class; 900 ms if missing. */
  urgentTime?: number;
}

const DISTURBED = { from: 12_000, until: 17_000, factor: 5 };

/** The choice without speeds, as before they were learnt. */
function createUniformSpeeds(): EndpointSpeeds {
  return {
    record: () => {},
    estimateRatios: (endpoints) => endpoints.map(() => 1),
  };
}

interface Piece extends WaitingPiece {
  arrivedAt: number;
}

function isCounted(time: number): boolean {
  return time >= COUNTED.from && time < COUNTED.until;
}

/** Replays a load on one pool; returns the share of pieces on time by class. */
function replayUnevenPool(
  { ratios, share, seed, disturbed, urgentTime }: Load,
  createSpeeds: (clock: Clock) => EndpointSpeeds,
) {
  const random = new Random(MersenneTwister19937.seed(seed));
  let now = 0;
  const clock = { ...createFakeClock(0), now: () => now };
  const speeds = createSpeeds(clock);
  const rates = createPieceRates(clock);
  const batcher = createPieceBatcher<Piece>(() => SPEC);
  const endpoints = ratios.map((_, index) => ({
    info: {
      id: `e${index}`,
      incarnation: "1",
      pool: "p",
      place: "a",
      address: `e${index}`,
      state: "live" as const,
    },
    health: createEndpointHealth(clock),
    calls: 0,
    freeAt: 0,
    roomTaken: 0,
    slowdown: 1,
    timeRatio: 1,
  }));
  const events = new Map<number, (() => void)[]>();
  const classes = CLASSES.map(() => ({ asked: 0, onTime: 0 }));
  const speedSum = ratios.reduce((sum, ratio) => sum + 1 / ratio, 0);
  const pieceRate = share * speedSum * SPEC.maxPieces / computeFullCall(SPEC);
  const requestRate = pieceRate * 2 / (1 + MAX_GROUP);

  const schedule = (at: number, event: () => void) =>
    events.set(at, [...(events.get(at) ?? []), event]);

  function addRequest(): void {
    let drawn = random.realZeroToOneExclusive();
    const priority = CLASSES.findIndex(({ share }) => (drawn -= share) < 0);
    const { onTime, due } = CLASSES[priority]!;
    const group = { started: 0 };
    const count = random.integer(1, MAX_GROUP);
    rates.recordArrival(priority, count);
    for (let index = 0; index < count; index++) {
      if (isCounted(now)) classes[priority]!.asked++;
      batcher.add({
        group,
        priority,
        arrivedAt: now,
        objectiveAt: now + (priority === 0 ? urgentTime ?? onTime : onTime),
        deadlineAt: now + due,
        place: "a",
        resultBytes: RESULT_BYTES,
        movedBytes: 0,
        excluded: new Set(),
      });
    }
  }

  function readTime(index: number, expected: number): number {
    const isDisturbed = index === disturbed && now >= DISTURBED.from &&
      now < DISTURBED.until;
    const noise = 1 + NOISE * (2 * random.realZeroToOneExclusive() - 1);
    const factor = isDisturbed ? DISTURBED.factor : 1;
    return Math.round(expected * ratios[index]! * factor * noise);
  }

  function sendCall(
    endpoint: typeof endpoints[number],
    pieces: readonly Piece[],
  ): void {
    const expected = SPEC.callTime + pieces.length * SPEC.pieceTime;
    const took = readTime(endpoints.indexOf(endpoint), expected);
    const bytes = pieces.length * RESULT_BYTES;
    endpoint.calls++;
    endpoint.freeAt = now + endpoint.timeRatio * expected;
    endpoint.roomTaken += bytes;
    rates.recordCall(pieces.length);
    schedule(now + took, () => {
      endpoint.calls--;
      endpoint.health.recordSuccess(took / expected);
      ejectSlowest(endpoints.map(({ health }) => health));
      speeds.record(endpoint.info, took / expected);
      for (const { priority, arrivedAt, objectiveAt } of pieces) {
        if (!isCounted(arrivedAt)) continue;
        if (now <= objectiveAt) classes[priority]!.onTime++;
      }
    });
    schedule(now + took + STORED_FOR, () => void (endpoint.roomTaken -= bytes));
  }

  function dispatch(): void {
    const learnt = speeds.estimateRatios(endpoints.map(({ info }) => info));
    endpoints.forEach((endpoint, index) => {
      endpoint.timeRatio = learnt[index]!;
      endpoint.slowdown = endpoint.health.slowdown;
    });
    const usable = endpoints.filter(({ health }) => !health.isEjected());
    const sum = usable.reduce((all, { timeRatio }) => all + 1 / timeRatio, 0);
    batcher.dropInfeasible(now, rates.forecast(SPEC, sum));
    for (;;) {
      const isBacklogged = rates.isBacklogged();
      const call = batcher.planCall(usable, { now, isBacklogged });
      if (call === undefined) break;
      sendCall(call.endpoint, call.pieces);
    }
    rates.recordQueue({
      waiting: batcher.size,
      isBusy: usable.every(({ calls }) => calls > 0),
      spec: SPEC,
      endpointCount: usable.length,
    });
  }

  for (; now < LENGTH; now++) {
    const due = events.get(now) ?? [];
    due.forEach((event) => event());
    events.delete(now);
    const isArrival = random.realZeroToOneExclusive() < requestRate;
    if (isArrival) addRequest();
    if (isArrival || due.length > 0 || now % 50 === 0) dispatch();
  }
  const shares = classes.map(({ asked, onTime }) => onTime / asked);
  const sum = (key: "asked" | "onTime") =>
    classes.reduce((all, counts) => all + counts[key], 0);
  return { shares, all: sum("onTime") / sum("asked") };
}

const UNEVEN = Array.from({ length: 12 }, (_, index) => 1 + 1.4 * index / 11);

/** Adds up the results of several seeds. */
function replaySeeds(load: Omit<Load, "seed">) {
  const runs = (createSpeeds: (clock: Clock) => EndpointSpeeds) =>
    SEEDS.map((seed) => replayUnevenPool({ ...load, seed }, createSpeeds));
  const average = (list: ReturnType<typeof runs>) => ({
    all: list.reduce((sum, { all }) => sum + all, 0) / list.length,
    urgent: list.reduce((sum, { shares }) => sum + shares[0]!, 0) / list.length,
  });
  return {
    uniform: average(runs(createUniformSpeeds)),
    learnt: average(runs(createEndpointSpeeds)),
  };
}

describe("replay of a pool with uneven endpoints", () => {
  // Pieces with little time left were sent to slow endpoints and missed their
  // objective there, while pieces with time used the fast ones.
  it("meets more objectives than the choice without speeds", () => {
    const { uniform, learnt } = replaySeeds({
      ratios: UNEVEN,
      share: 0.9,
      disturbed: 0,
    });
    expect(uniform.all).to.be.lessThan(0.98);
    expect(learnt.all).to.be.greaterThan(0.99);
    expect(uniform.urgent).to.be.lessThan(0.94);
    expect(learnt.urgent).to.be.greaterThan(0.98);
  });

  // The objective is shorter than a full call at most of the endpoints.
  it("meets more objectives that only small or fast calls can meet", () => {
    const { uniform, learnt } = replaySeeds({
      ratios: UNEVEN,
      share: 0.9,
      disturbed: 0,
      urgentTime: 600,
    });
    expect(learnt.urgent).to.be.greaterThan(uniform.urgent + 0.2);
    expect(learnt.all).to.be.greaterThan(uniform.all + 0.05);
  });

  // Noise alone must not split an even pool into fast and slow endpoints.
  it("loses nothing in an even pool with noise and a disturbance", () => {
    const { uniform, learnt } = replaySeeds({
      ratios: UNEVEN.map(() => 1),
      share: 0.9,
      disturbed: 0,
    });
    expect(learnt.all).to.be.greaterThan(uniform.all - 0.002);
    expect(learnt.urgent).to.be.greaterThan(uniform.urgent - 0.002);
  });
});
