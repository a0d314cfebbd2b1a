import type { PieceRun } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import type { EndpointSignals } from "@mangoreach/coordination";
import { createEntryAllowance } from "@mangoreach/coordination";
import { expect } from "chai";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createSignalHandler } from "./endpoint_signals.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import {
  createTestDispatcher,
  createTestEndpoint,
  createTestPeer,
  TEST_SPEC,
} from "./test_support.ts";

const SECOND: Millis = 1_000;
const STEP: Millis = 50;
const LIMIT = 1;
const SPAN = 4 * SECOND;
const PAUSE = 2 * SECOND;
const ALLOWED = 1.5 * LIMIT * SPAN / SECOND + 5;

function createRun(number: number): PieceRun {
  return {
    pool: "pool",
    partition: "",
    requestId: `request-${number}`,
    priority: 1,
    onTime: 2 * SECOND,
    remaining: 3 * SECOND,
    resultBytes: 100,
    movedBytes: 0,
    ownsInputs: true,
    pieces: [
      { stage: 0, piece: 0, source: { kind: "key", key: "k" } },
      { stage: 0, piece: 1, source: { kind: "key", key: "k" } },
    ],
  };
}

/** Replies of the first of two endpoints. */
interface ReplayOptions {
  duration: Millis;
  /** Signals in its replies; it refuses calls while it requests a pause. */
  readSignals: (now: Millis) => EndpointSignals;
}

/** Dispatches to two endpoints; returns what arrived at the first. */
async function replayEndpoints({ duration, readSignals }: ReplayOptions) {
  const clock = createFakeClock(0);
  const endpoints = [createTestEndpoint("first"), createTestEndpoint("other")];
  const { allowance, limits, brittle, pauses } = createEntryAllowance({
    clock,
    random: () => 0.5,
    entry: "entry",
    listMembers: () => [createTestPeer("entry")],
    listEntries: () => ["entry"],
    directory: { listUsable: () => endpoints },
    isDispatched: () => true,
  });
  const { dispatcher, stages } = createTestDispatcher(
    clock,
    endpoints,
    undefined,
    {
      allowance,
      handleSignals: createSignalHandler({
        log: createSilentDecisionLog(),
        metrics: createServingMetrics("entry"),
        limits,
        brittle,
        pauses,
        directory: { markLeaving: () => false },
        listAt: () => [],
        reportPause: () => {},
      }),
    },
  );
  /** Times at which calls and releases arrived. */
  const arrivals: Millis[] = [];
  /** Times at which it requested pauses. */
  const pausedAt: Millis[] = [];
  const release = stages.release;
  stages.release = (address, results, options) => {
    if (address === "first") arrivals.push(clock.now());
    return release(address, results, options);
  };
  let answered = 0;
  for (let step = 0; clock.now() < duration; step++) {
    const { signal } = new AbortController();
    void dispatcher.run(createRun(step), signal).then(({ outcomes }) => {
      const results = outcomes.flatMap((outcome) =>
        outcome.kind === "done" ? [outcome.result] : []
      );
      dispatcher.release(results);
    });
    for (const call of stages.calls.slice(answered)) {
      answered++;
      const isFirst = call.endpoint.id === "first";
      if (isFirst) arrivals.push(clock.now());
      const signals = isFirst ? readSignals(clock.now()) : {};
      if (signals.pause !== undefined) {
        pausedAt.push(clock.now());
        call.end({ kind: "not_run", reason: "full", signals });
        continue;
      }
      clock.startTimer(TEST_SPEC.callTime, () => {
        const results = call.pieces.map(({ requestId, piece }) => ({
          kind: "done" as const,
          result: `${call.endpoint.id}/${requestId}.${piece}`,
        }));
        call.end({ kind: "results", results, signals });
      });
    }
    await settlePromises();
    await clock.advance(STEP);
  }
  return { arrivals, pausedAt };
}

describe("a stage endpoint", () => {
  // Without this, calls and releases would ignore the limit of the endpoint.
  it("that reports a limit gets no more calls and releases", async () => {
    const { arrivals } = await replayEndpoints({
      duration: 30 * SECOND,
      readSignals: () => ({ rateLimit: LIMIT }),
    });
    const settled = arrivals.filter((at) => at >= 3 * SECOND);
    const most = Math.max(
      ...settled.map((from) =>
        settled.filter((at) => at >= from && at < from + SPAN).length
      ),
    );
    expect(most).to.be.at.most(ALLOWED);
    // The endpoint is still used, up to its limit.
    expect(settled.length).to.be.at.least(27 * LIMIT / 3);
  });

  // Without this, an endpoint that is full would be called again after 150 ms,
  // and would get the releases of its earlier results.
  it("that requests a pause gets no calls and releases during it", async () => {
    const { arrivals, pausedAt } = await replayEndpoints({
      duration: 20 * SECOND,
      readSignals: (now) =>
        now >= 5 * SECOND && now < 15 * SECOND ? { pause: PAUSE } : {},
    });
    const most = Math.max(
      ...pausedAt.map((from) =>
        arrivals.filter((at) => at > from && at < from + PAUSE).length
      ),
    );
    expect(pausedAt.length).to.be.within(3, 6);
    expect(most).to.equal(0);
  });
});
