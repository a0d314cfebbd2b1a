import { createDataAge } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import type { TopicReadError, TopicReadResult } from "./platform_interfaces.ts";
import { createPosition } from "./test_support.ts";
import { createTopicRelay } from "./topic_relay.ts";

/** Creates a read result from records written as `key=content/heartbeat`. */
function createResult(next: number, ...texts: string[]): TopicReadResult {
  const records = texts.map((text) => {
    const [key = "", value] = text.split("=");
    return { key, value: value === "" ? undefined : value };
  });
  return { records, next: createPosition(next) };
}

describe("topic relay", () => {
  async function create(...changes: (TopicReadResult | TopicReadError)[]) {
    const clock = createFakeClock(0);
    const relay = createTopicRelay({
      clock,
      source: {
        readSnapshot: () =>
          Promise.resolve(Result.ok(createResult(5, "a=1/1"))),
        readFrom: () => {
          const step = changes.shift();
          return Promise.resolve<Result<TopicReadResult, TopicReadError>>(
            typeof step === "object"
              ? Result.ok(step)
              : Result.err(step ?? "unavailable"),
          );
        },
      },
      age: createDataAge({ clock, readWallTime: clock.now }),
      readContent: ({ value }) => value?.split("/")[0] ?? "",
    });
    await relay.source.readSnapshot();
    const readOn = async (from: number, era = 0) => {
      await relay.source.readFrom(createPosition(from, era), 0);
    };
    const ask = async (from: number, { wait = 0, era = 0 } = {}) => {
      const pending = relay.answer({
        topic: "endpoints",
        from: createPosition(from, era),
        wait,
        confirmWait: 0,
      });
      await clock.advance(wait);
      const reply = await pending;
      if (reply.kind === "unknown") return "unknown";
      const keys = reply.records.map(({ key, value }) => `${key}=${value}`);
      const kind = reply.kind === "newest" ? "all: " : "";
      const { era: nextEra, offset } = reply.next;
      const next = nextEra > 0 ? `${offset} of era ${nextEra}` : `${offset}`;
      return `${kind}${keys.join(" ")} next ${next} age ${reply.age}`;
    };
    return { clock, relay, readOn, ask };
  }

  it("relays changes with the store's offsets", async () => {
    const { readOn, ask } = await create(createResult(7, "b=1/1", "a=2/1"));
    await readOn(5);
    expect(await ask(5)).to.equal("b=1/1 a=2/1 next 7 age 0");
    expect(await ask(6)).to.equal("a=2/1 next 7 age 0");
  });

  // Heartbeats of 80 endpoints relayed to 90 entries would fill the network
  // link of the smallest instance, and they change no content.
  it("leaves out heartbeats, except the first after a removal", async () => {
    const { readOn, ask } = await create(
      createResult(8, "a=1/2", "a=", "a=1/3"),
    );
    await readOn(5);
    expect(await ask(5)).to.equal("a=undefined a=1/3 next 8 age 0");
  });

  // If the data of a reader that has lost the store passed for the store's, its
  // children would not read the store themselves.
  it("relays nothing while the reader has lost the store", async () => {
    const clock = createFakeClock(0);
    let isLost = false;
    const relay = createTopicRelay({
      clock,
      source: {
        readSnapshot: () =>
          Promise.resolve(Result.ok(createResult(5, "a=1/1"))),
        readFrom: () => Promise.resolve(Result.ok(createResult(5))),
        mayRelay: () => !isLost,
      },
      age: createDataAge({ clock, readWallTime: clock.now }),
      readContent: ({ value }) => value ?? "",
    });
    await relay.source.readSnapshot();
    const question = {
      topic: "config",
      from: createPosition(5),
      wait: 600,
      confirmWait: 0,
    } as const;
    const early = relay.answer(question);
    isLost = true;
    await relay.source.readFrom(createPosition(5), 0);
    expect((await early).kind).to.equal("unknown");
    expect((await relay.answer(question)).kind).to.equal("unknown");
    isLost = false;
    const answer = relay.answer(question);
    await clock.advance(600);
    expect((await answer).kind).to.equal("records");
  });

  it("reports how long ago the store confirmed its data", async () => {
    const { readOn, ask, clock } = await create("unavailable");
    await clock.advance(700);
    await readOn(5);
    expect(await ask(5)).to.equal(" next 5 age 700");
  });

  it("does not answer for offsets that it has not reached", async () => {
    const { ask } = await create();
    expect(await ask(6)).to.equal("unknown");
  });

  // After a start of all entries, their snapshots are a few heartbeats apart.
  // If entries had to read the few records in between from the store, those
  // that are behind their relay would keep reading the store.
  it("sends a snapshot to an entry that is too far behind", async () => {
    const { readOn, ask } = await create(
      createResult(7, "b=1/1", "a="),
    );
    await readOn(5);
    expect(await ask(4)).to.equal("all: b=1/1 next 7 age 0");
  });

  // While this entry read elsewhere, it buffered nothing. An entry that relied
  // on its buffer would miss the records in between.
  it("resets its buffer where it did not read itself", async () => {
    const { readOn, ask } = await create(createResult(10, "b=1/1"));
    await readOn(9);
    expect(await ask(5)).to.equal("unknown");
    expect(await ask(10)).to.equal(" next 10 age 0");
  });

  // An entry has read the store a moment after the reader did. If it were sent
  // back to the store for that, it would be ahead again the next time.
  it("catches up with an entry that is ahead of it", async () => {
    const { relay, readOn } = await create(createResult(7, "b=1/1", "c=1/1"));
    const reply = relay.answer({
      topic: "config",
      from: createPosition(6),
      wait: 400,
      confirmWait: 1_000,
    });
    await readOn(5);
    expect(await reply).to.deep.equal({
      kind: "records",
      records: [{ key: "c", value: "1/1", offset: 6 }],
      next: createPosition(7),
      age: 0,
    });
  });

  it("answers a waiting entry when something changes", async () => {
    const { relay, readOn } = await create(createResult(6, "b=1/1"));
    const reply = relay.answer({
      topic: "config",
      from: createPosition(5),
      wait: 400,
      confirmWait: 1_000,
    });
    await readOn(5);
    expect(await reply).to.deep.equal({
      kind: "records",
      records: [{ key: "b", value: "1/1", offset: 5 }],
      next: createPosition(6),
      age: 0,
    });
  });

  // If the relay answered when the wait is over, data would get older by one
  // wait with each relay. Right after a confirmation it is as fresh as
  // possible.
  it("answers after the wait as soon as its data is confirmed", async () => {
    const { relay, readOn, clock } = await create(createResult(5));
    let reply: unknown;
    void relay.answer({
      topic: "config",
      from: createPosition(5),
      wait: 400,
      confirmWait: 1_000,
    })
      .then((answer) => reply = answer);
    await clock.advance(500);
    expect(reply).to.equal(undefined);
    await readOn(5);
    await clock.advance(0);
    expect(reply).to.deep.equal({
      kind: "records",
      records: [],
      next: createPosition(5),
      age: -500,
    });
  });

  // The store or the reader is frozen: the requester must ask elsewhere.
  it("reports the age of its data if nothing confirms it in time", async () => {
    const { relay, clock } = await create();
    const reply = relay.answer({
      topic: "config",
      from: createPosition(5),
      wait: 400,
      confirmWait: 1_000,
    });
    await clock.advance(1_400);
    expect(await reply).to.deep.equal({
      kind: "records",
      records: [],
      next: createPosition(5),
      age: 0,
    });
  });

  // The relay reads from another entry, which leaves out heartbeats. Offsets
  // must be those of the store, or an entry that changes relays would miss a
  // record.
  it("keeps the offsets of records that another entry relayed", async () => {
    const { readOn, ask } = await create({
      records: [{ key: "b", value: "1/1", offset: 8 }],
      next: createPosition(9),
      age: 200,
    });
    await readOn(5);
    expect(await ask(8)).to.equal("b=1/1 next 9 age 0");
    expect(await ask(9)).to.equal(" next 9 age 0");
  });

  // The store is restored from an older copy: an endpoint that has left is in
  // it again, and offsets are reused. A requester with a position of the old
  // era gets a snapshot, and then the next record of each live endpoint,
  // although its content is unchanged: only live endpoints write again.
  it("resets in a new era and relays each key's next record", async () => {
    const copy = { ...createResult(3, "a=1/1", "b=1/1"), isSnapshot: true };
    const { readOn, ask } = await create(
      { ...copy, next: createPosition(3, 1) },
      { ...createResult(4, "a=1/2"), next: createPosition(4, 1) },
      { ...createResult(5, "a=1/3"), next: createPosition(5, 1) },
    );
    await readOn(5);
    expect(await ask(5)).to.equal("all: a=1/1 b=1/1 next 3 of era 1 age 0");
    await readOn(3, 1);
    expect(await ask(3, { era: 1 })).to.equal("a=1/2 next 4 of era 1 age 0");
    await readOn(4, 1);
    expect(await ask(4, { era: 1 })).to.equal(" next 5 of era 1 age 0");
  });

  // A requester that learns of the restore late waits for each endpoint to write
  // again, and would never see those that had done so before.
  it("relays records again after a late requester's snapshot", async () => {
    const copy = { ...createResult(3, "a=1/1"), isSnapshot: true };
    const { readOn, ask } = await create(
      { ...copy, next: createPosition(3, 1) },
      { ...createResult(4, "a=1/2"), next: createPosition(4, 1) },
      { ...createResult(5, "a=1/3"), next: createPosition(5, 1) },
    );
    await readOn(5);
    await readOn(3, 1);
    expect(await ask(5)).to.equal("all: a=1/2 next 4 of era 1 age 0");
    await readOn(4, 1);
    expect(await ask(4, { era: 1 })).to.equal("a=1/3 next 5 of era 1 age 0");
  });

  it("does not answer for an era that it has not read", async () => {
    const { ask } = await create();
    expect(await ask(2, { era: 1 })).to.equal("unknown");
  });
});
