import type { PieceRun } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import { createEntryAllowance } from "@mangoreach/coordination";
import { expect } from "chai";
import { createSilentDecisionLog } from "./decision_log.ts";
import { createSignalNotes } from "./endpoint_signals.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import {
  createTestEndpoint,
  createTestFeeder,
  createTestPeer,
  TEST_SPEC,
} from "./test_support.ts";

const SECOND: Millis = 1_000;
const STEP: Millis = 50;
const LIMIT = 1;
const SPAN = 4 * SECOND;
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

/** Feeds two makers, of which the first names a limit all the time. */
async function replayLimitedMaker(duration: Millis) {
  const clock = createFakeClock(0);
  const makers = [createTestEndpoint("limited"), createTestEndpoint("other")];
  const { allowance, limits } = createEntryAllowance({
    clock,
    random: () => 0.5,
    entry: "entry",
    listMembers: () => [createTestPeer("entry")],
    directory: { listUsable: () => makers },
    isFed: () => true,
  });
  const { feeder, stages } = createTestFeeder(clock, makers, undefined, {
    allowance,
    noteSignals: createSignalNotes({
      log: createSilentDecisionLog(),
      metrics: createServingMetrics("entry"),
      limits,
      directory: { markLeaving: () => false },
      listAt: () => [],
    }),
  });
  /** Times of calls and releases that reached the limited maker. */
  const arrivals: Millis[] = [];
  const release = stages.release;
  stages.release = (address, results) => {
    if (address === "limited") arrivals.push(clock.now());
    return release(address, results);
  };
  let made = 0;
  let answered = 0;
  for (let step = 0; clock.now() < duration; step++) {
    const { signal } = new AbortController();
    void feeder.run(createRun(step), signal).then(({ outcomes }) => {
      const results = outcomes.flatMap((outcome) =>
        outcome.kind === "done" ? [outcome.result] : []
      );
      made += results.length;
      feeder.release(results);
    });
    for (const call of stages.calls.slice(answered)) {
      answered++;
      const isLimited = call.endpoint.id === "limited";
      if (isLimited) arrivals.push(clock.now());
      clock.startTimer(TEST_SPEC.callTime, () => {
        call.end({
          kind: "results",
          results: call.pieces.map(({ requestId, piece }) => ({
            kind: "done",
            result: `${call.endpoint.id}/${requestId}.${piece}`,
          })),
          signals: isLimited ? { rateLimit: LIMIT } : {},
        });
      });
    }
    await settlePromises();
    await clock.advance(STEP);
  }
  return { arrivals, made };
}

describe("a maker of pieces that names a limit", () => {
  // Calls and releases reach it as often as if it had named none.
  it("gets no more calls and releases than it takes", async () => {
    const { arrivals } = await replayLimitedMaker(30 * SECOND);
    const settled = arrivals.filter((at) => at >= 3 * SECOND);
    const most = Math.max(
      ...settled.map((from) =>
        settled.filter((at) => at >= from && at < from + SPAN).length
      ),
    );
    expect(most).to.be.at.most(ALLOWED);
    // It is used all the same, for what it takes.
    expect(settled.length).to.be.at.least(27 * LIMIT / 3);
  });
});
