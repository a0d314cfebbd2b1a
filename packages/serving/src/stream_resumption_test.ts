import type {
  BegunStream,
  Route,
  StreamOrigin,
} from "@mangoreach/coordination";
import {
  createEndpointDirectory,
  createVersionHistory,
} from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import type { StreamKnowledge } from "./stream_origin_gossip.ts";
import { createStreamResumption } from "./stream_resumption.ts";
import {
  createTestEndpoint,
  createTestHead,
  createTestRoute,
} from "./test_support.ts";

const ORIGIN = { pool: "pool", endpoint: "a", version: "v1" };
const ENDPOINTS = [
  createTestEndpoint("a", { version: "v1" }),
  createTestEndpoint("b", { version: "v2" }),
];
const STREAM = { kind: "stream", isResumable: true } as const;

interface Case {
  name: string;
  origin?: StreamOrigin;
  /** Versions of the pool, with the time since each was seen. */
  seen?: readonly [version: string, seenAgo: number][];
  watchedFor?: number;
  isPartial?: boolean;
  route?: Partial<Route>;
  budget?: number;
  endpoints?: typeof ENDPOINTS;
  /** Endpoints registered some seconds before. */
  endpointsBefore?: typeof ENDPOINTS;
}

async function findTarget(
  {
    origin,
    seen = [],
    watchedFor = 600_000,
    isPartial = false,
    route = {},
    budget = Infinity,
    endpoints = ENDPOINTS,
    endpointsBefore = endpoints,
  }: Case,
) {
  const clock = createFakeClock(0);
  const history = createVersionHistory(clock);
  const directory = createEndpointDirectory({ clock, markTtl: 1_000 });
  history.update(endpointsBefore);
  await clock.advance(3_000);
  history.update(endpoints);
  directory.replaceAll(endpoints);
  const versions = seen.map(([version, seenAgo]) => ({ version, seenAgo }));
  const knowledge: StreamKnowledge = {
    origin,
    histories: [new Map([["pool", { watchedFor, versions }]])],
    isPartial,
  };
  const resumption = createStreamResumption({
    log: createSilentDecisionLog(),
    metrics: createServingMetrics("entry"),
    gossip: { record: () => {}, find: () => Promise.resolve(knowledge) },
    history,
    directory,
    isListCurrent: () => true,
  });
  const target = await resumption.findTarget({
    head: createTestHead({ resumed: { id: "s" }, budget }),
    route: createTestRoute({ ...STREAM, ...route }),
    account: undefined,
  });
  if (target.isOk) return target.value.version;
  const { verdict, message, retryAfterMs } = target.error;
  return [verdict, message, retryAfterMs];
}

const GOES_ON: readonly (Case & { version: string })[] = [
  { name: "at the version that began it", origin: ORIGIN, version: "v1" },
  {
    name: "at the only version that has served",
    seen: [["v1", 0]],
    version: "v1",
  },
  {
    name: "at the only version for longer than a stream lasts",
    seen: [["v1", 0], ["v2", 600_001]],
    version: "v1",
  },
];

const REFUSED: readonly (Case & { refusal: unknown })[] = [
  {
    name: "two versions have served and nobody remembers it",
    seen: [["v1", 0], ["v2", 7_000]],
    refusal: [
      "not_run",
      "it is not known here which version began the stream",
      undefined,
    ],
  },
  {
    name: "the caller has waited for several times its route's timeout",
    seen: [["v1", 0], ["v2", 30_000]],
    budget: 3_000,
    refusal: [
      "not_run",
      "it is not known here which version began the stream",
      undefined,
    ],
  },
  {
    name: "the timeout of its route is shorter than when it began",
    seen: [["v1", 0], ["v2", 30_000]],
    route: { timeout: 500 },
    refusal: [
      "not_run",
      "it is not known here which version began the stream",
      undefined,
    ],
  },
  {
    name: "the pool was not watched for long enough",
    seen: [["v1", 0]],
    watchedFor: 599_999,
    refusal: [
      "not_run",
      "it is not known here which version began the stream",
      undefined,
    ],
  },
  {
    name: "a peer that did not reply may remember it",
    isPartial: true,
    refusal: [
      "not_run",
      "it is not known here which version began the stream",
      300,
    ],
  },
  {
    name: "one of two pools has begun it",
    seen: [["v1", 0]],
    route: {
      pools: [{ pool: "pool", weight: 1 }, { pool: "other", weight: 1 }],
    },
    refusal: [
      "not_run",
      "it is not known here which version began the stream",
      undefined,
    ],
  },
  {
    name: "the route no longer uses its pool",
    origin: { ...ORIGIN, pool: "before" },
    refusal: [
      "not_run",
      "the service that began the stream no longer serves this route",
      undefined,
    ],
  },
  {
    name: "the endpoint that began it did not say its version",
    origin: { ...ORIGIN, version: undefined },
    refusal: [
      "not_run",
      "the version that began the stream is not known",
      undefined,
    ],
  },
  {
    name: "the version changed under the id of the endpoint that began it",
    origin: ORIGIN,
    endpointsBefore: ENDPOINTS,
    endpoints: [
      createTestEndpoint("a", { version: "v2" }),
      createTestEndpoint("b", { version: "v1" }),
    ],
    refusal: [
      "not_run",
      "the version that began the stream is not known",
      undefined,
    ],
  },
  {
    name: "the endpoints of its version have just gone, maybe in a crash",
    origin: ORIGIN,
    endpoints: [createTestEndpoint("b", { version: "v2" })],
    endpointsBefore: ENDPOINTS,
    refusal: [
      "not_run",
      "no endpoint of the version that began the stream takes work",
      1_000,
    ],
  },
  {
    name: "its version has not served for long",
    origin: { ...ORIGIN, version: "v0" },
    refusal: [
      "not_run",
      "no endpoint of the version that began the stream takes work",
      undefined,
    ],
  },
];

describe("resumption of streams", () => {
  for (const { version, ...given } of GOES_ON) {
    it(`goes on ${given.name}`, async () => {
      expect(await findTarget(given)).to.equal(version);
    });
  }

  for (const { refusal, ...given } of REFUSED) {
    it(`refuses a stream: ${given.name}`, async () => {
      expect(await findTarget(given)).to.deep.equal(refusal);
    });
  }

  /** Returns what is recorded of a stream whose caller waits for `budget`. */
  function recordBegun({ budget = 4_000, isListCurrent = true } = {}) {
    const clock = createFakeClock(0);
    const recorded: BegunStream[] = [];
    const resumption = createStreamResumption({
      log: createSilentDecisionLog(),
      metrics: createServingMetrics("entry"),
      gossip: {
        record: (stream) => void recorded.push(stream),
        find: () => Promise.reject(new Error("no streams")),
      },
      history: createVersionHistory(clock),
      directory: createEndpointDirectory({ clock, markTtl: 1_000 }),
      isListCurrent: () => isListCurrent,
    });
    resumption.recordBegun({
      head: createTestHead({ budget }),
      route: createTestRoute({ ...STREAM, timeout: 4_000 }),
      account: undefined,
    }, ENDPOINTS[0]!);
    return recorded[0];
  }

  // Guards against a stream that goes on at the version that its endpoint had
  // before it restarted during an outage of the store.
  it("does not trust a version that may have changed unseen", () => {
    const versions = [true, false].map((isListCurrent) =>
      recordBegun({ isListCurrent })?.origin.version
    );
    expect(versions).to.deep.equal(["v1", undefined]);
  });

  // Guards against a stream whose origin is forgotten while its caller waits.
  it("remembers a stream for as long as its caller waits", () => {
    const lifetimes = [1_000, 16_000, Infinity].map((budget) =>
      recordBegun({ budget })?.lifetime
    );
    expect(lifetimes).to.deep.equal([10_000, 16_000, 600_000]);
  });
});
