import type { LoadReport, Route } from "@mangoreach/coordination";
import { createRouteTable } from "@mangoreach/coordination";
import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import fc from "fast-check";
import { MersenneTwister19937, Random } from "random-js";
import { chooseEndpoint } from "./endpoint_choice.ts";
import type { EndpointLoad } from "./endpoint_load.ts";
import {
  createTestEndpoint,
  createTestHead,
  createTestRoute,
  createTestState,
  createTestTable,
} from "./test_support.ts";

const ENTRIES = 87;
/** How many requests an endpoint works on concurrently. */
const SLOTS = 6;
const REQUEST = { head: createTestHead(), body: Buffer.alloc(0) };

interface LoadShape {
  /** How many endpoints there are. */
  count: number;
  work: Millis;
  perSecond: number;
  /** How many times longer the work takes at one of the endpoints. */
  slowest: number;
}

/** `atMost` bounds the latencies relative to those without factors. */
const SHAPES = [
  {
    name: "4 endpoints of 15 ms",
    ...{ count: 4, work: 15, perSecond: 1_100, slowest: 1 },
    atMost: { mean: 0.75, p99: 0.75 },
  },
  {
    name: "3 endpoints of 60 ms",
    ...{ count: 3, work: 60, perSecond: 200, slowest: 1 },
    atMost: { mean: 0.97, p99: 0.95 },
  },
  {
    name: "3 endpoints of 60 ms, one 3 times slower",
    ...{ count: 3, work: 60, perSecond: 130, slowest: 3 },
    atMost: { mean: 0.97, p99: 0.95 },
  },
  {
    name: "4 endpoints of 15 ms, one 3 times slower",
    ...{ count: 4, work: 15, perSecond: 550, slowest: 3 },
    atMost: { mean: 1, p99: 0.9 },
  },
];

function createRandom(seed: number): () => number {
  const source = new Random(MersenneTwister19937.seed(seed));
  return () => source.real(0, 1);
}

/** An entry with its own view of the endpoints of one pool. */
function createEntry(
  clock: FakeClock,
  { ids, random, route = {}, hasEngine = false }: {
    ids: readonly string[];
    random: () => number;
    route?: Partial<Route>;
    hasEngine?: boolean;
  },
) {
  const testRoute = createTestRoute(route);
  const plain = createTestTable([testRoute]);
  const pool = {
    name: "pool",
    maxConnections: 1,
    coldRate: 0,
    engine: { slots: 4, tokenCapacity: 1_000 },
    batching: undefined,
  };
  const table = hasEngine
    ? createRouteTable({ ...plain.config, pools: [pool] })
    : plain;
  const state = createTestState(clock, { random });
  const endpoints = ids.map((id) => createTestEndpoint(id));
  state.directory.replaceAll(endpoints);
  const admitted = {
    route: testRoute,
    table,
    pool: "pool",
    account: undefined,
    priority: 1,
    rank: 17,
  };
  const choose = () =>
    chooseEndpoint(state, { request: REQUEST, admitted, avoid: [] })!;
  return { state, endpoints, choose };
}

/** The choice before work factors were reported: the lowest cost. */
function chooseWithoutFactors(endpoints: readonly EndpointLoad[]) {
  const estimateCost = ({ load, slowdown }: EndpointLoad) =>
    (1 + load) * slowdown;
  return [...endpoints].sort((a, b) => estimateCost(a) - estimateCost(b))[0]
    ?.info;
}

const createReport = (
  takenAt: Millis,
  workFactor?: number,
): LoadReport => ({
  running: 0,
  queued: 0,
  slots: SLOTS,
  takenAt,
  ...(workFactor === undefined ? {} : { workFactor }),
});

describe("choice by work factor", () => {
  it("is as before where no endpoint reports a factor", () => {
    const loads = fc.array(fc.nat(6), { minLength: 1, maxLength: 6 });
    fc.assert(fc.property(loads, (counts) => {
      const clock = createFakeClock(0);
      const ids = counts.map((_, index) => `e${index}`);
      const { state, endpoints, choose } = createEntry(clock, {
        ids,
        random: () => 0.99,
      });
      endpoints.forEach((endpoint, index) => {
        state.loads.recordReport(endpoint, createReport(0));
        for (let n = 0; n < counts[index]!; n++) state.loads.begin(endpoint);
        state.loads.recordRatio(endpoint, 1 + index / 10);
      });
      expect(choose())
        .to.equal(chooseWithoutFactors(state.loads.view(endpoints)));
    }));
  });

  const CASES = [
    { name: "prefers the endpoint with the lower factor", chosen: "e2" },
    { name: "ignores a factor of 250 ms ago", age: 250, chosen: "e1" },
    { name: "ignores it for streams", kind: "stream", chosen: "e1" },
    { name: "ignores it for model engines", hasEngine: true, chosen: "e1" },
  ] as const;
  for (const { name, chosen, ...given } of CASES) {
    it(name, async () => {
      const clock = createFakeClock(0);
      const { state, endpoints, choose } = createEntry(clock, {
        ids: ["e1", "e2"],
        random: () => 0,
        route: { kind: "kind" in given ? given.kind : "idempotent" },
        hasEngine: "hasEngine" in given,
      });
      state.loads.recordReport(endpoints[0]!, createReport(0, 2.4));
      await clock.advance("age" in given ? given.age : 10);
      expect(choose().id).to.equal(chosen);
    });
  }

  // A factor of a hundredth would attract every request.
  it("bounds what a false figure can do", () => {
    const { state, endpoints, choose } = createEntry(createFakeClock(0), {
      ids: ["e1", "e2", "e3"],
      random: () => 0,
    });
    const [first] = endpoints;
    state.loads.recordReport(first!, createReport(0, 0.01));
    for (let index = 0; index < 5; index++) state.loads.begin(first!);
    expect(choose().id).not.to.equal("e1");
  });

  // All entries have just read that one endpoint is much faster. If all chose
  // it, it would be overloaded before the next figure arrives.
  for (
    const { count, factor } of [
      ...[2, 3, 4, 12].map((count) => ({ count, factor: 0.5 })),
      { count: 4, factor: 0.2 },
    ]
  ) {
    it(`spreads ${ENTRIES} entries that read ${factor} of one of ${count} endpoints`, () => {
      const random = createRandom(20261203);
      const clock = createFakeClock(0);
      const ids = Array.from({ length: count }, (_, index) => `e${index}`);
      const chosen = Array.from({ length: ENTRIES }, () => {
        const { state, endpoints, choose } = createEntry(clock, {
          ids,
          random,
        });
        endpoints.forEach((endpoint, index) =>
          state.loads.recordReport(
            endpoint,
            createReport(0, index === 0 ? factor : 1),
          )
        );
        return choose().id;
      });
      const first = chosen.filter((id) => id === "e0").length / ENTRIES;
      const weight = factor ** -1.5;
      const expected = weight / (weight + count - 1);
      expect(first).to.be.within(expected - 0.15, expected + 0.15);
    });
  }

  // The better of two drawn uniformly gave the second best of three a third of
  // the requests, and the dearer of two an eighth at seven times the cost.
  for (const [best, ...others] of [[1, 7], [1, 7, 9], [1, 9, 9, 9]] as const) {
    it(`sends little to endpoints of cost ${others.join(", ")}`, () => {
      const costs = [best, ...others];
      const { state, endpoints, choose } = createEntry(createFakeClock(0), {
        ids: costs.map((_, index) => `e${index}`),
        random: createRandom(20261203),
      });
      endpoints.forEach((endpoint, index) => {
        state.loads.recordReport(endpoint, createReport(0, 1));
        for (let n = 1; n < costs[index]!; n++) state.loads.begin(endpoint);
      });
      const chosen = Array.from({ length: 5_000 }, () => choose().id);
      for (const { id } of endpoints.slice(1)) {
        const share = chosen.filter((each) => each === id).length / 5_000;
        expect(share).to.be.within(0.01, 0.07);
      }
    });
  }

  // Against the choice without factors, under the same load.
  for (const shape of SHAPES) {
    it(`shortens latencies under load: ${shape.name}`, async () => {
      const seeds = [100_000, 101_000, 102_000, 103_000];
      const sums = { before: { mean: 0, p99: 0 }, after: { mean: 0, p99: 0 } };
      for (const seed of seeds) {
        const before = await runLoad({ ...shape, reportsFactors: false, seed });
        const after = await runLoad({ ...shape, reportsFactors: true, seed });
        for (const kind of ["mean", "p99"] as const) {
          sums.before[kind] += before[kind];
          sums.after[kind] += after[kind];
        }
      }
      for (const kind of ["mean", "p99"] as const) {
        expect(sums.after[kind])
          .to.be.lessThan(shape.atMost[kind] * sums.before[kind]);
      }
    }).timeout(60_000);
  }
});

/**
 * 87 entries send requests to endpoints of 6 slots, whose factors change several
 * times a second; returns latencies.
 */
async function runLoad(
  { count, work, perSecond, slowest, reportsFactors, seed }: LoadShape & {
    reportsFactors: boolean;
    seed: number;
  },
): Promise<{ mean: Millis; p99: Millis }> {
  // The load is the same whatever the entries draw for their choices.
  const random = createRandom(seed);
  const clock = createFakeClock(0);
  const ids = Array.from({ length: count }, (_, index) => `e${index}`);
  let seedOfEntry = seed;
  const entries = Array.from(
    { length: ENTRIES },
    () => createEntry(clock, { ids, random: createRandom(++seedOfEntry) }),
  );
  const servers = ids.map((_, index) => ({
    work: index === 0 ? work * slowest : work,
    factor: 1,
    running: [] as (() => void)[],
    queue: [] as (() => void)[],
  }));
  const latencies: Millis[] = [];

  function start(index: number): void {
    const server = servers[index]!;
    const next = server.running.length < SLOTS
      ? server.queue.shift()
      : undefined;
    if (next === undefined) return;
    server.running.push(next);
    clock.startTimer(server.work * server.factor, () => {
      server.running.splice(server.running.indexOf(next), 1);
      next();
      start(index);
    });
  }

  function send(): void {
    const entry = entries[Math.floor(random() * ENTRIES)]!;
    const endpoint = entry.choose();
    const index = ids.indexOf(endpoint.id);
    const sentAt = clock.now();
    const { loads } = entry.state;
    loads.begin(endpoint);
    servers[index]!.queue.push(() => {
      const { factor, running, queue } = servers[index]!;
      const latency = clock.now() - sentAt;
      latencies.push(latency);
      loads.recordRatio(endpoint, latency / work);
      loads.end(endpoint, "done");
      const report = createReport(
        clock.now(),
        reportsFactors ? factor : undefined,
      );
      const counts = { running: running.length, queued: queue.length };
      loads.recordReport(endpoint, { ...report, ...counts });
    });
    start(index);
  }

  for (let time = 0; time < 15_000; time++) {
    for (const server of servers) {
      if (random() < 1 / 150) server.factor = Math.exp(1.8 * random() - 0.9);
    }
    for (let due = perSecond / 1_000; due > 0; due--) {
      if (random() < due) send();
    }
    await clock.advance(1);
  }
  latencies.sort((a, b) => a - b);
  const sum = latencies.reduce((total, latency) => total + latency, 0);
  return {
    mean: sum / latencies.length,
    p99: latencies[Math.floor(0.99 * latencies.length)]!,
  };
}
