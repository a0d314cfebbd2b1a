import type { CrashedRun } from "@mangoreach/coordination";
import { createPoisonQuarantine } from "@mangoreach/coordination";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createSilentDecisionLog } from "./decision_log.ts";
import type { EndpointCondition } from "./endpoint_check.ts";
import type { TrackedRequest } from "./crash_detector.ts";
import { createCrashDetector } from "./crash_detector.ts";
import { createTestEndpoint, createTestHead } from "./test_support.ts";

function createTracked(
  { id = "1", account = "one", target = "/r/x", body = "b" } = {},
): TrackedRequest {
  const head = createTestHead({ id, target });
  return { account, request: { head, body: Buffer.from(body) } };
}

function createDetector(
  clock: FakeClock,
  condition: EndpointCondition,
  isReplaced = false,
) {
  const ended: CrashedRun[] = [];
  const completed: (readonly string[])[] = [];
  const quarantine = createPoisonQuarantine(clock);
  const detector = createCrashDetector({
    clock,
    log: createSilentDecisionLog(),
    endpointCheck: {
      checkCondition: async () => {
        await clock.sleep(5);
        return condition;
      },
    },
    replacement: { waitForReplacement: () => Promise.resolve(isReplaced) },
    quarantine,
    gossip: {
      recordCrash: (run) => ended.push(run),
      recordCompletion: (traits) => completed.push(traits),
    },
  });
  return { detector, quarantine, ended, completed };
}

describe("crash detector", () => {
  async function noteBroken(condition: EndpointCondition, isReplaced = false) {
    const clock = createFakeClock(0);
    const { detector, ended } = createDetector(clock, condition, isReplaced);
    await clock.advance(300);
    const noted = detector.handleBrokenRun({
      ...createTracked(),
      endpoint: createTestEndpoint("e1"),
      sentAt: 100,
      answeringSince: undefined,
    });
    await clock.advance(5);
    await noted;
    return ended;
  }

  it("measures ages from the crash, not from its detection", async () => {
    const [run] = await noteBroken("ended");
    expect(run).to.include({
      endpointKey: "e1#1",
      sentAgo: 205,
      endedAgo: 5,
    });
  });

  for (const condition of ["listening", "unknown"] as const) {
    it(`records no crash if the endpoint is ${condition}`, async () => {
      expect(await noteBroken(condition)).to.deep.equal([]);
    });

    it(`records a crash if it is ${condition} and then replaced`, async () => {
      expect(await noteBroken(condition, true)).to.have.length(1);
    });
  }

  it("identifies content by path, account and body, not by id", async () => {
    const clock = createFakeClock(0);
    const { detector, ended, quarantine } = createDetector(clock, "ended");
    const noted = detector.handleBrokenRun({
      ...createTracked(),
      endpoint: createTestEndpoint("e1"),
      sentAt: 0,
      answeringSince: undefined,
    });
    await clock.advance(5);
    await noted;
    quarantine.mergeQuarantined({
      content: ended[0]!.traits[0]!,
      endpointKeys: ["e1#1"],
      term: 60_000,
    });
    const isRefused = (change: Parameters<typeof createTracked>[0]) =>
      detector.findRefusal(createTracked(change)) !== undefined;
    expect({
      same: isRefused({ id: "2" }),
      otherPath: isRefused({ target: "/r/y" }),
      otherAccount: isRefused({ account: "two" }),
      otherBody: isRefused({ body: "c" }),
    }).to.deep.equal({
      same: true,
      otherPath: false,
      otherAccount: false,
      otherBody: false,
    });
    expect(detector.findRefusal(createTracked())).to.deep.include({
      kind: "unavailable",
      verdict: "not_run",
      retryAfterMs: 60_000,
    });
  });

  it("computes no digests while no content is suspected", () => {
    const { detector, completed } = createDetector(createFakeClock(0), "ended");
    detector.recordCompletion(createTracked());
    expect(completed).to.deep.equal([]);
    expect(detector.findRefusal(createTracked())).to.equal(undefined);
  });
});
