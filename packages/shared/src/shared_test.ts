import { expect } from "chai";
import * as fc from "fast-check";
import {
  compareCausalTimes,
  createCausalClock,
  formatCausalTime,
} from "./causal_clock.ts";
import { createFakeClock } from "./fake_clock.ts";
import { createServerSentEventParser } from "./server_sent_events.ts";
import { createSubject } from "./subject.ts";
import { createTimeline } from "./timeline.ts";

describe("causal clock", () => {
  // Guards against wrong order of events when the wall clocks of two entries
  // differ by minutes: sorted by wall clock, an answer would precede its call.
  it("orders an answer after its call although the clocks differ", () => {
    const ahead = createCausalClock(createFakeClock(50_000));
    const behind = createCausalClock(createFakeClock(10_000));
    const call = ahead.tick();
    behind.observe(formatCausalTime(call));
    expect(compareCausalTimes(behind.tick(), call)).to.be.above(0);
  });

  it("ignores times that are far ahead or malformed", () => {
    const clock = createCausalClock(createFakeClock(0));
    for (const text of ["999999999.0", "x", "1.x", "", undefined]) {
      clock.observe(text);
    }
    expect(clock.tick().millis).to.equal(0);
  });
});

describe("timeline", () => {
  it("keeps the newest events when it is full", () => {
    const timeline = createTimeline({
      process: "e",
      clock: createCausalClock(createFakeClock()),
      capacity: 2,
    });
    for (const request of ["a", "b", "c"]) {
      timeline.record("request_received", { request });
    }
    expect(timeline.list().map(({ request }) => request))
      .to.deep.equal(["b", "c"]);
  });
});

describe("server-sent event parser", () => {
  it("parses the same events however the text is split into chunks", () => {
    const text = 'event: token\nid: 3\ndata: {"text":"a: b"}\n\n' +
      "event: end\ndata: 1\n\n";
    const expected = createServerSentEventParser().parse(text);
    const cuts = fc.array(fc.integer({ min: 0, max: text.length }));
    fc.assert(
      fc.property(cuts, (positions) => {
        const parser = createServerSentEventParser();
        const sorted = [0, ...positions.sort((a, b) => a - b), text.length];
        const events = sorted.slice(1).flatMap((end, i) => {
          const parsed = parser.parse(text.slice(sorted[i], end));
          return parsed === "too_large" ? [] : parsed;
        });
        expect(events).to.deep.equal(expected);
      }),
      { seed: 1, numRuns: 100 },
    );
  });

  it("reports an unterminated event that is too large", () => {
    expect(createServerSentEventParser().parse("x".repeat(1_100_000)))
      .to.equal("too_large");
  });

  it("parses events whose text is empty or ends with a line break", () => {
    const text = "\n\n\n\n\ndata: 1\n\n\n\n\n";
    const whole = createServerSentEventParser().parse(text);
    const parser = createServerSentEventParser();
    const events = [...text].flatMap((char) => {
      const parsed = parser.parse(char);
      return parsed === "too_large" ? [] : parsed;
    });
    expect(events).to.deep.equal(whole);
    expect(whole).to.have.length(4);
  });

  // Guards against work for each chunk that grows with the event so far: then a
  // peer that sends single characters occupies the process.
  it("takes time in proportion to the text, however small its chunks", () => {
    const parser = createServerSentEventParser();
    let early = 0;
    const startedAt = performance.now();
    for (let part = 0; part < 300_000; part++) {
      early += parser.parse("x").length;
    }
    const took = performance.now() - startedAt;
    expect(early).to.equal(0);
    expect(parser.parse("\n\n")).to.have.length(1);
    expect(took).to.be.below(3_000);
  });
});

describe("subject", () => {
  it("emits values to each observer until it ends", async () => {
    const subject = createSubject<number>();
    const seen: number[] = [];
    const observed = subject.stream.observe((value) => void seen.push(value));
    await Promise.resolve();
    subject.push(1);
    subject.push(2);
    subject.end();
    subject.push(3);
    await observed;
    expect(seen).to.deep.equal([1, 2]);
  });
});
