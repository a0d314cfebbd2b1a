import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { followTopic } from "./topic_follower.ts";
import type { TopicReadError, TopicReadResult } from "./platform_interfaces.ts";
import { createPosition } from "./test_support.ts";

type Script = (TopicReadResult | TopicReadError)[];

function createResult(next: number, ...keys: string[]): TopicReadResult {
  return {
    records: keys.map((key) => ({ key, value: key })),
    next: createPosition(next),
  };
}

describe("topic follower", () => {
  async function follow(newest: Script, changes: Script) {
    const clock = createFakeClock(0);
    const controller = new AbortController();
    const seen: string[] = [];
    const take = (script: Script) => {
      const step = script.shift();
      if (step === undefined) controller.abort();
      return Promise.resolve<Result<TopicReadResult, TopicReadError>>(
        typeof step === "object" ? Result.ok(step) : Result.err(
          step ?? "unavailable",
        ),
      );
    };
    const task = followTopic({
      clock,
      random: () => 0.5,
      signal: controller.signal,
      source: {
        readSnapshot: () => take(newest),
        readFrom({ era, offset }) {
          seen.push(`from ${offset}${era > 0 ? ` of era ${era}` : ""}`);
          return take(changes);
        },
      },
      sink: {
        handleRestored: () => seen.push("restored"),
        replaceAll: (records) =>
          seen.push(`all ${records.map(({ key }) => key).join("+")}`),
        apply: ({ key }) => seen.push(`one ${key}`),
        recordConfirmed: () => {},
        handleUnavailable: () => seen.push("away"),
        handleAvailable: () => seen.push("back"),
      },
      readTime: () => ({ monotonic: clock.now(), wall: clock.now() }),
      wait: 1_000,
      pause: 10,
    });
    await clock.advance(10_000);
    controller.abort();
    await task;
    return seen;
  }

  it("continues after the snapshot", async () => {
    const seen = await follow([createResult(4, "a", "b")], [
      createResult(5, "c"),
      createResult(5),
    ]);
    expect(seen.slice(0, 5))
      .to.deep.equal(["all a+b", "from 4", "one c", "from 5", "from 5"]);
  });

  // The store drops its history. Reading from the old offset would fail for
  // ever, and the entry would keep its current configuration.
  it("reads a new snapshot when the history is gone", async () => {
    const seen = await follow(
      [createResult(4, "a"), createResult(9, "a", "d")],
      ["expired"],
    );
    expect(seen.slice(0, 4))
      .to.deep.equal(["all a", "from 4", "all a+d", "from 9"]);
  });

  // The store is restored from an older copy and reuses offsets. Reading from
  // the old offset would miss records written below it.
  it("reports a restore and reads a new snapshot in a new era", async () => {
    const copy = { ...createResult(2, "a"), next: createPosition(2, 1) };
    const seen = await follow([createResult(4, "a", "b"), copy], ["expired"]);
    expect(seen.slice(0, 5)).to.deep.equal([
      "all a+b",
      "from 4",
      "restored",
      "all a",
      "from 2 of era 1",
    ]);
  });

  it("reports an outage and its end once, and misses no record", async () => {
    const outage = Array.from({ length: 8 }, () => "unavailable" as const);
    const seen = await follow([createResult(4, "a")], [
      ...outage,
      createResult(5, "b"),
    ]);
    expect(seen.filter((step) => !step.startsWith("from")).slice(0, 4))
      .to.deep.equal(["all a", "away", "back", "one b"]);
    expect(seen.filter((step) => step === "from 4").length).to.equal(9);
  });

  // Two peers are busy for a moment. If that were treated as an outage of the
  // store, an endpoint whose removal is read next would get requests for two
  // more seconds.
  it("does not report a short failure as an outage", async () => {
    const seen = await follow([createResult(4, "a")], [
      "unavailable",
      "unavailable",
      createResult(5, "b"),
    ]);
    expect(seen.slice(0, 5))
      .to.deep.equal(["all a", "from 4", "from 4", "from 4", "one b"]);
  });

  // Data from another entry has the age that the entry reports. If it were
  // counted as new, a revoked key would be accepted for that much longer.
  it("subtracts the reported age from the time of the read", async () => {
    const clock = createFakeClock(10_000);
    const controller = new AbortController();
    const confirmed: number[] = [];
    const task = followTopic({
      clock,
      random: () => 0.5,
      signal: controller.signal,
      source: {
        readSnapshot: () =>
          Promise.resolve(Result.ok({ ...createResult(1), age: 700 })),
        readFrom: () => Promise.resolve(Result.err("unavailable")),
      },
      sink: {
        handleRestored: () => {},
        replaceAll: () => {},
        apply: () => {},
        recordConfirmed: ({ monotonic, wall }) =>
          confirmed.push(monotonic, wall),
        handleUnavailable: () => {},
        handleAvailable: () => {},
      },
      readTime: () => ({ monotonic: clock.now(), wall: clock.now() + 5 }),
      wait: 500,
      pause: 10,
    });
    await clock.advance(100);
    controller.abort();
    await clock.advance(1_000);
    await task;
    expect(confirmed).to.deep.equal([9_300, 9_305]);
  });
});
