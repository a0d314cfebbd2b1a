import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { followTopic } from "./keyed_follower.ts";
import type { KeyedFault, KeyedReading } from "./serving_handles.ts";
import { createPosition } from "./test_support.ts";

type Script = (KeyedReading | KeyedFault)[];

function createReading(next: number, ...keys: string[]): KeyedReading {
  return {
    records: keys.map((key) => ({ key, value: key })),
    next: createPosition(next),
  };
}

describe("following a keyed topic", () => {
  async function follow(newest: Script, changes: Script) {
    const clock = createFakeClock(0);
    const controller = new AbortController();
    const seen: string[] = [];
    const take = (script: Script) => {
      const step = script.shift();
      if (step === undefined) controller.abort();
      return Promise.resolve<Result<KeyedReading, KeyedFault>>(
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
        readNewest: () => take(newest),
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

  it("reads on behind the newest records", async () => {
    const seen = await follow([createReading(4, "a", "b")], [
      createReading(5, "c"),
      createReading(5),
    ]);
    expect(seen.slice(0, 5))
      .to.deep.equal(["all a+b", "from 4", "one c", "from 5", "from 5"]);
  });

  // The store drops its history. Reading on at the old offset fails for ever;
  // users would keep the configuration of that moment.
  it("reads the newest again when the history is gone", async () => {
    const seen = await follow(
      [createReading(4, "a"), createReading(9, "a", "d")],
      ["expired"],
    );
    expect(seen.slice(0, 4))
      .to.deep.equal(["all a", "from 4", "all a+d", "from 9"]);
  });

  // The store comes back from an older copy of itself and gives offsets out
  // again. Read on at the old one, what was written below it would be missed.
  it("reads the newest again in a new era, and tells so first", async () => {
    const copy = { ...createReading(2, "a"), next: createPosition(2, 1) };
    const seen = await follow([createReading(4, "a", "b"), copy], ["expired"]);
    expect(seen.slice(0, 5)).to.deep.equal([
      "all a+b",
      "from 4",
      "restored",
      "all a",
      "from 2 of era 1",
    ]);
  });

  it("tells an outage once, and its end, and misses nothing", async () => {
    const outage = Array.from({ length: 8 }, () => "unavailable" as const);
    const seen = await follow([createReading(4, "a")], [
      ...outage,
      createReading(5, "b"),
    ]);
    expect(seen.filter((step) => !step.startsWith("from")).slice(0, 4))
      .to.deep.equal(["all a", "away", "back", "one b"]);
    expect(seen.filter((step) => step === "from 4").length).to.equal(9);
  });

  // Two entries that it asked were busy for a moment. Taken for an outage of the
  // store, an endpoint whose removal is read next would get requests for two
  // seconds more.
  it("takes a short failure for no outage", async () => {
    const seen = await follow([createReading(4, "a")], [
      "unavailable",
      "unavailable",
      createReading(5, "b"),
    ]);
    expect(seen.slice(0, 5))
      .to.deep.equal(["all a", "from 4", "from 4", "from 4", "one b"]);
  });

  // What another entry tells is as old as it says: counted as new, a key that was
  // taken away would open requests for that much longer.
  it("dates what was read by its age", async () => {
    const clock = createFakeClock(10_000);
    const controller = new AbortController();
    const confirmed: number[] = [];
    const task = followTopic({
      clock,
      random: () => 0.5,
      signal: controller.signal,
      source: {
        readNewest: () =>
          Promise.resolve(Result.ok({ ...createReading(1), age: 700 })),
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
