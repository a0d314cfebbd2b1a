/**
 * `npm run slopes`: measures the CPU time and memory of an entry per peer,
 * endpoint, account, stream, remembered request, claim and configuration change.
 * Each is measured at several sizes and fitted by a straight line.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import process from "node:process";
import type { EndpointInfo, PeerRecord } from "@mangoreach/coordination";
import {
  createClaimTable,
  createConfigFold,
  createDeadline,
  createExpectedTimeChoice,
  createMembership,
  createOutcomeTable,
  createStagePool,
} from "@mangoreach/coordination";
import type { ConfigDocument } from "@mangoreach/operators";
import { parseConfigRecord } from "@mangoreach/operators";
import { createSystemClock } from "@mangoreach/shared";
import { readDeployment } from "./site_plan.ts";

/** A measured point. */
interface Point {
  size: number;
  value: number;
}

/** A fitted line: value = base + slope * size. */
interface Line {
  base: number;
  slope: number;
  /** Standard error of the slope. */
  error: number;
}

const clock = createSystemClock();

/** Fits a line by ordinary least squares. */
function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const meanX = points.reduce((sum, { size }) => sum + size, 0) / n;
  const meanY = points.reduce((sum, { value }) => sum + value, 0) / n;
  const variation = points.reduce(
    (sum, { size }) => sum + (size - meanX) ** 2,
    0,
  );
  const slope = points.reduce(
    (sum, { size, value }) => sum + (size - meanX) * (value - meanY),
    0,
  ) / variation;
  const base = meanY - slope * meanX;
  const residual = points.reduce(
    (sum, { size, value }) => sum + (value - base - slope * size) ** 2,
    0,
  );
  return { base, slope, error: Math.sqrt(residual / (n - 2) / variation) };
}

/** Measures the mean CPU time of one run of `work`, in microseconds. */
function measureCpu(runs: number, work: () => void): number {
  for (let i = 0; i < runs / 4; i++) work();
  const before = process.cpuUsage();
  for (let i = 0; i < runs; i++) work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / runs;
}

/** Measures the heap that `create` retains, in bytes; needs --expose-gc. */
function measureHeap(create: () => unknown): number {
  const collect = globalThis.gc as (() => void) | undefined;
  collect?.();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  collect?.();
  const after = process.memoryUsage().heapUsed;
  return retained === undefined ? 0 : after - before;
}

function report(
  name: string,
  { unit, sizes, measure }: {
    unit: string;
    sizes: readonly number[];
    measure: (size: number) => number;
  },
): void {
  const points = sizes.map((size) => ({ size, value: measure(size) }));
  const { base, slope, error } = fitLine(points);
  const formatted = points.map(({ size, value }) =>
    `${size}: ${format(value)}`
  );
  process.stderr.write(`${name} (${unit}): ${formatted.join(", ")}\n`);
  process.stdout.write(
    `${
      JSON.stringify({
        slope: name,
        unit,
        base: Number(format(base)),
        per_item: Number(format(slope)),
        error: Number(format(error)),
      })
    }\n`,
  );
}

function format(value: number): string {
  return value.toPrecision(4);
}

function createPeer(i: number): PeerRecord {
  return {
    entry: `entry-${i}`,
    incarnation: `entry-${i}-0123456789abcdef`,
    startedAt: 1,
    place: `place-${i % 19}`,
    callerAddress: `10.0.${i % 250}.1:7001`,
    controlAddress: `10.0.${i % 250}.1:7002`,
    state: "live",
    heartbeat: 1,
    configVersion: 1,
    inFlight: 10,
    capacity: 1,
    strainedPriority: 0,
  };
}

function createMembers(count: number) {
  const members = createMembership({
    clock,
    self: createPeer(0),
    random: Math.random,
    suspectTimeout: 5_000,
    lostTimeout: 15_000,
  });
  members.merge(Array.from({ length: count }, (_, i) => createPeer(i + 1)));
  return members;
}

function createEndpoint(i: number): EndpointInfo {
  return {
    id: `engine-${i}`,
    incarnation: "1",
    pool: "engine",
    place: `place-${i % 4}`,
    address: `10.1.0.${i}:1`,
    state: "live",
  };
}

function createPool(count: number) {
  const pool = createStagePool({
    clock,
    policy: {
      choose: createExpectedTimeChoice({
        ownPlace: "place-0",
        random: Math.random,
      }),
      hasLimits: true,
      hasEjection: true,
    },
    estimateAttainment: () => 1,
    onEjected: () => {},
  });
  pool.refresh(Array.from({ length: count }, (_, i) => createEndpoint(i)));
  return pool;
}

function measureAttempt(count: number): number {
  const pool = createPool(count);
  const deadline = createDeadline({ clock, budget: 60_000 });
  const work = {
    workClass: { name: "c", priority: 1, target: 0.9 },
    account: "a",
    size: 100,
    deadline,
    reservedTime: 0,
  };
  const cost = measureCpu(20_000, () => {
    const permit = pool.tryAcquire(work, []);
    permit?.recordLatency(10);
    permit?.release("done");
  });
  deadline.release();
  return cost;
}

function measureExchange(count: number): number {
  const members = createMembers(count);
  let round = 1;
  return measureCpu(2_000, () => {
    round++;
    members.updateSelf({});
    members.merge(
      Array.from({ length: 11 }, (_, i) => ({
        ...createPeer(1 + (round * 11 + i) % count),
        heartbeat: round,
      })),
    );
    JSON.stringify(members.chooseRecords(12));
    members.choosePeer();
  });
}

function createLargeConfig(pipelines: number): ConfigDocument {
  const { config } = readDeployment("fjordvik");
  const [first] = config.pipelines;
  const copies = Array.from(
    { length: pipelines },
    (_, i) => ({ ...first!, name: `p${i}` }),
  );
  return { ...config, pipelines: copies };
}

function createManyAccounts(accounts: number): ConfigDocument {
  const { config } = readDeployment("fjordvik");
  const copies = Array.from(
    { length: accounts },
    (_, i) => ({ name: `account-${i}`, classes: ["rulings", "chat"] }),
  );
  return { ...config, accounts: copies };
}

function measureChange(config: ConfigDocument): number {
  const record = JSON.stringify({
    kind: "publish",
    publishId: "p",
    author: "a",
    basedOn: 0,
    config,
  });
  return measureCpu(60, () => {
    const fold = createConfigFold<ConfigDocument>();
    const parsed = parseConfigRecord(JSON.parse(record));
    if (parsed !== undefined) fold.apply(parsed, { offset: 0 });
  });
}

report("peer state, one exchange", {
  unit: "us of processor time",
  sizes: [12, 90, 180, 360],
  measure: measureExchange,
});
report("peer state, kept", {
  unit: "bytes",
  sizes: [90, 180, 360],
  measure: (size) => measureHeap(() => createMembers(size)),
});
report("peer state, one message", {
  unit: "bytes",
  sizes: [12, 90, 360],
  measure: (size) =>
    JSON.stringify(createMembers(size).chooseRecords(12)).length,
});
report("endpoints, one attempt", {
  unit: "us of processor time",
  sizes: [8, 32, 110, 440],
  measure: measureAttempt,
});
report("endpoints, kept", {
  unit: "bytes",
  sizes: [110, 440, 2_100],
  measure: (size) => measureHeap(() => createPool(size)),
});
report("non-idempotent requests remembered", {
  unit: "bytes",
  sizes: [1_000, 10_000, 50_000],
  measure: (size) =>
    measureHeap(() => {
      const table = createOutcomeTable<string>({ clock, capacity: size });
      for (let i = 0; i < size; i++) {
        const id = `b~entry-1-0123456789abcdef~kx~${
          randomBytes(8).toString("hex")
        }`;
        const begun = table.begin({ account: "a", id }, Infinity);
        if (begun.kind === "fresh") begun.run.finish(`{"answer":${i}}`);
      }
      return table;
    }),
});
report("claims read from the log", {
  unit: "bytes",
  sizes: [1_000, 10_000, 50_000],
  measure: (size) =>
    measureHeap(() => {
      const table = createClaimTable({ clock, window: 600_000 });
      for (let i = 0; i < size; i++) {
        table.apply({
          account: "a",
          id: randomBytes(16).toString("hex"),
          claimId: randomBytes(8).toString("hex"),
          incarnation: "entry-1-0123456789abcdef",
          issuedAt: clock.now(),
        });
      }
      return table;
    }),
});
report("configuration change, by pipelines", {
  unit: "us of processor time",
  sizes: [3, 8, 30],
  measure: (size) => measureChange(createLargeConfig(size)),
});
report("configuration change, by accounts", {
  unit: "us of processor time",
  sizes: [5, 300, 1_300],
  measure: (size) => measureChange(createManyAccounts(size)),
});
report("configuration record, by accounts", {
  unit: "bytes",
  sizes: [5, 300, 1_300],
  measure: (size) => JSON.stringify(createManyAccounts(size)).length,
});
