import { expect } from "chai";
import type { ObservedRequest } from "./stop_callers.ts";
import type { ObservedStopRun } from "./stop_checks.ts";
import { countStopped, listStopViolations } from "./stop_checks.ts";

const STOP_AT = 100_000;
const STOP_TIME = 8_000;
const EVENT_GAP = 50;

/** A stream of 80 events, sent one second after the signal and cut at 4 s. */
function createRequest(change: Partial<ObservedRequest> = {}): ObservedRequest {
  return {
    id: "r",
    route: "talk",
    entry: "e",
    events: 80,
    sentAt: STOP_AT + 1_000,
    endedAt: STOP_AT + 4_000,
    status: 200,
    end: "cut",
    ...change,
  };
}

function createRun(change: Partial<ObservedStopRun> = {}): ObservedStopRun {
  return {
    at: STOP_AT + 1_000,
    endedAt: STOP_AT + 4_000,
    isWhole: false,
    events: 60,
    ...change,
  };
}

describe("checks of the stop soak", () => {
  function observe(
    requests: readonly ObservedRequest[],
    own: readonly ObservedStopRun[],
  ) {
    const observations = {
      requests,
      runs: new Map(own.length === 0 ? [] : [["r", own]]),
      stops: [{
        entry: "e",
        startedAt: STOP_AT - 20_000,
        at: STOP_AT,
        endedAt: STOP_AT + 7_300,
      }],
      stopTime: STOP_TIME,
      eventGap: EVENT_GAP,
    };
    return {
      violations: listStopViolations(observations),
      ...countStopped(observations),
    };
  }

  // A check that reports nothing would make every run of the soak pass.
  it("reports what callers lose, and nothing else", () => {
    const before = { sentAt: STOP_AT - 1_000 };
    const late = { endedAt: STOP_AT + 7_200 };
    const refused = {
      status: 503,
      end: "complete",
      endedAt: STOP_AT + 1_010,
    } as const;
    const CASES: Record<string, ReturnType<typeof observe>["violations"]> = {
      "accepted and cut": observe([createRequest()], [createRun()]).violations,
      "accepted and whole": observe(
        [createRequest({ end: "complete" })],
        [createRun({ isWhole: true })],
      ).violations,
      "cut as its endpoint became slow": observe(
        [createRequest()],
        [createRun({ events: 30 })],
      ).violations,
      "sent before and cut early": observe(
        [createRequest(before)],
        [createRun()],
      ).violations,
      "sent before and cut at the end": observe(
        [createRequest({ ...before, ...late })],
        [createRun({ endedAt: STOP_AT + 7_200, events: 120 })],
      ).violations,
      "refused at once": observe([createRequest(refused)], []).violations,
      "refused late": observe(
        [createRequest({ ...refused, endedAt: STOP_AT + 2_000 })],
        [],
      ).violations,
      "refused and run": observe([createRequest(refused)], [createRun()])
        .violations,
      "run twice": observe(
        [createRequest({ end: "complete" })],
        [createRun({ isWhole: true }), createRun({ isWhole: true })],
      ).violations,
      "cut without a stop": observe(
        [createRequest({ entry: "other" })],
        [createRun()],
      ).violations,
      "streams that could end are refused": observe(
        Array.from(
          { length: 20 },
          () => createRequest({ ...refused, events: 20 }),
        ),
        [],
      ).violations,
    };
    expect(CASES).to.deep.equal({
      "accepted and cut": [
        "r (talk, 80 events) was sent 1000 ms after the signal, ran, and was " +
        "cut 4000 ms after it",
      ],
      "accepted and whole": [],
      "cut as its endpoint became slow": [],
      "sent before and cut early": [
        "r (talk) was sent before the signal and cut 4000 ms after it, with " +
        "time left",
      ],
      "sent before and cut at the end": [],
      "refused at once": [],
      "refused late": ["r was refused after 1000 ms"],
      "refused and run": ["r was refused and ran"],
      "run twice": ["r ran 2 times"],
      "cut without a stop": ["r (talk) ran and was cut without a stop"],
      "streams that could end are refused": [
        "0 of 20 streams that could end were accepted",
      ],
    });
  });

  it("counts what became of requests that met a stop", () => {
    const { violations: _, ...counts } = observe([
      createRequest(),
      createRequest({ status: 503, end: "complete" }),
      createRequest({ end: "complete" }),
      createRequest({ sentAt: STOP_AT - 100, end: "complete" }),
      createRequest({ entry: "other" }),
    ], [createRun()]);
    expect(counts)
      .to.deep.equal({ sent: 3, refused: 1, finished: 1, cut: 1 });
  });
});
