import type { FakeClock, Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import { createDeadline } from "./deadline.ts";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { createEntryAllowance } from "./entry_allowance.ts";
import type { PeerRecord } from "./membership.ts";
import { createLeastInFlightChoice } from "./routing.ts";
import type { PoolWork, StagePool } from "./stage_pool.ts";
import { createStagePool } from "./stage_pool.ts";

const SECOND: Millis = 1_000;
const STEP: Millis = 20;
const WORK_TIME: Millis = 60;
const LIMIT = 1;
const SPAN = 4 * SECOND;
const ALLOWED = 1.5 * LIMIT * SPAN / SECOND + 5;

function createEndpoint(id: string): EndpointInfo {
  return {
    id,
    incarnation: "1",
    pool: "pool",
    place: "odda",
    address: id,
    state: "live",
  };
}

function createWork(clock: FakeClock): PoolWork {
  return {
    workClass: { name: "rulings", priority: 1, target: 0.99 },
    account: "handlers",
    size: 1,
    deadline: createDeadline({ clock, budget: SECOND }),
    reservedTime: 0,
  };
}

interface Load {
  entries: number;
  perSecond: number;
  /** Endpoints with a published limit, and those without. */
  limited: number;
  free: number;
}

interface Arrival {
  id: string;
  at: Millis;
}

/**
 * Creates one entry's pool of these endpoints, with their limits and pauses.
 */
function createEntryPool(
  clock: FakeClock,
  { entry, entries, endpoints, random }: {
    entry: string;
    entries: readonly string[];
    endpoints: readonly EndpointInfo[];
    random: () => number;
  },
) {
  const { allowance, limits, pauses } = createEntryAllowance({
    clock,
    random,
    entry,
    listMembers: () => entries.map((name) => ({ entry: name }) as PeerRecord),
    directory: { listUsable: () => [...endpoints] },
    listEntries: () => entries,
    isDispatched: () => false,
  });
  const pool = createStagePool({
    clock,
    policy: {
      choose: createLeastInFlightChoice(random),
      hasLimits: true,
      hasEjection: true,
    },
    estimateAttainment: () => 1,
    onEjected: () => {},
    allowance,
    onPause: (endpoint, pause) =>
      pauses.record(formatEndpointKey(endpoint), pause),
  });
  pool.refresh(endpoints);
  return { pool, limits, pauses };
}

/** Creates the pool of a single entry. */
function createOnlyPool(clock: FakeClock, endpoints: readonly EndpointInfo[]) {
  const entries = ["entry"];
  const random = () => 0;
  return createEntryPool(clock, {
    entry: "entry",
    entries,
    endpoints,
    random,
  });
}

/**
 * Replays a load in which each answer of a limited endpoint names its limit.
 */
async function replayPools({ entries, perSecond, limited, free }: Load) {
  const clock = createFakeClock(0);
  const engine = new Random(MersenneTwister19937.seed(entries));
  const random = () => engine.real(0, 1);
  const names = Array.from({ length: entries }, (_, index) => `entry-${index}`);
  const endpoints = [
    ...Array.from(
      { length: limited },
      (_, i) => createEndpoint(`limited-${i}`),
    ),
    ...Array.from({ length: free }, (_, i) => createEndpoint(`free-${i}`)),
  ];
  const arrivals: Arrival[] = [];
  let slowestRefusal: Millis = 0;

  const all = names.map((entry) =>
    createEntryPool(clock, { entry, entries: names, endpoints, random })
  );

  async function call(pool: StagePool, onAnswer: (info: EndpointInfo) => void) {
    const startedAt = clock.now();
    const permit = await pool.acquire(createWork(clock));
    if (permit.isErr) {
      slowestRefusal = Math.max(slowestRefusal, clock.now() - startedAt);
      return;
    }
    const { endpoint } = permit.value;
    arrivals.push({ id: endpoint.id, at: clock.now() });
    await clock.sleep(WORK_TIME);
    onAnswer(endpoint);
    permit.value.release("done");
  }

  for (let sent = 0; clock.now() < 20 * SECOND;) {
    for (; sent < perSecond * clock.now() / SECOND; sent++) {
      const { pool, limits } = all[engine.integer(0, entries - 1)]!;
      void call(pool, (info) => {
        const isLimited = info.id.startsWith("limited");
        const limit = isLimited ? LIMIT : undefined;
        limits.record(formatEndpointKey(info), limit, clock.now() - WORK_TIME);
      });
    }
    await clock.advance(STEP);
  }
  return { arrivals, slowestRefusal };
}

describe("a pool with endpoints that publish a limit", () => {
  const CASES: (Load & { name: string })[] = [
    { name: "one of three", entries: 9, perSecond: 40, limited: 1, free: 2 },
    { name: "all three", entries: 9, perSecond: 40, limited: 3, free: 0 },
  ];
  for (const { name, ...load } of CASES) {
    // Nine entries send to them, each dispatching from a queue of its own.
    it(`sends them no more than they accept: ${name}`, async () => {
      const { arrivals, slowestRefusal } = await replayPools(load);
      const settled = arrivals.filter(({ id, at }) =>
        id.startsWith("limited") && at >= 3 * SECOND
      );
      const most = Math.max(
        ...settled.map(({ id, at: from }) =>
          settled.filter(({ id: other, at }) =>
            other === id && at >= from && at < from + SPAN
          ).length
        ),
      );
      expect(most).to.be.at.most(ALLOWED);
      // Work is refused once waiting is of no use, at the latest at its
      // deadline.
      expect(slowestRefusal).to.be.at.most(SECOND);
    });
  }
});

describe("a pool with an endpoint that asks for a pause", () => {
  // An endpoint that refuses at once has the fewest calls in progress, so it
  // was chosen repeatedly, and each call cost a second attempt.
  it("sends it nothing until the pause is over", async () => {
    const clock = createFakeClock(0);
    const endpoints = [createEndpoint("paused"), createEndpoint("other")];
    const { pool } = createOnlyPool(clock, endpoints);
    const seen: string[] = [];
    for (let at = 0; at < 2_000; at += 100) {
      const permit = await pool.acquire(createWork(clock));
      if (permit.isErr) continue;
      const { endpoint } = permit.value;
      seen.push(endpoint.id);
      const isPaused = endpoint.id === "paused";
      permit.value.release(
        isPaused ? "overloaded" : "done",
        isPaused ? 500 : undefined,
      );
      await clock.advance(100);
    }
    expect(seen.filter((id) => id === "paused").length).to.be.at.most(4);
  });

  it("refuses at once with the shortest remaining pause", async () => {
    const clock = createFakeClock(0);
    const endpoints = [createEndpoint("first"), createEndpoint("second")];
    const { pool, pauses } = createOnlyPool(clock, endpoints);
    pauses.record(formatEndpointKey(endpoints[0]!), 5_000);
    pauses.record(formatEndpointKey(endpoints[1]!), 3_000);
    const permit = await pool.acquire(createWork(clock));
    expect(permit.isErr && permit.error.verdict).to.equal("not_run");
    expect(permit.isErr && permit.error.retryAfterMs).to.equal(3_000);
  });
});
