import { createKnowledgeAge } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import type { KeyedFault, KeyedReading } from "./serving_handles.ts";
import { createPosition } from "./test_support.ts";
import { createTopicRelay } from "./topic_relay.ts";

/** Records `key=content/heartbeat`. */
function createReading(next: number, ...texts: string[]): KeyedReading {
  const records = texts.map((text) => {
    const [key = "", value] = text.split("=");
    return { key, value: value === "" ? undefined : value };
  });
  return { records, next: createPosition(next) };
}

describe("relay of a topic", () => {
  async function create(...changes: (KeyedReading | KeyedFault)[]) {
    const clock = createFakeClock(0);
    const relay = createTopicRelay({
      clock,
      source: {
        readNewest: () => Promise.resolve(Result.ok(createReading(5, "a=1/1"))),
        readFrom: () => {
          const step = changes.shift();
          return Promise.resolve<Result<KeyedReading, KeyedFault>>(
            typeof step === "object"
              ? Result.ok(step)
              : Result.err(step ?? "unavailable"),
          );
        },
      },
      age: createKnowledgeAge({ clock, readWallTime: clock.now }),
      readContent: ({ value }) => value?.split("/")[0] ?? "",
    });
    await relay.source.readNewest();
    const readOn = async (from: number, era = 0) => {
      await relay.source.readFrom(createPosition(from, era), 0);
    };
    const ask = async (from: number, { wait = 0, era = 0 } = {}) => {
      const news = relay.answer({
        topic: "endpoints",
        from: createPosition(from, era),
        wait,
        confirmWait: 0,
      });
      await clock.advance(wait);
      const reply = await news;
      if (reply.kind === "unknown") return "unknown";
      const keys = reply.records.map(({ key, value }) => `${key}=${value}`);
      const kind = reply.kind === "newest" ? "all: " : "";
      const { era: nextEra, offset } = reply.next;
      const next = nextEra > 0 ? `${offset} of era ${nextEra}` : `${offset}`;
      return `${kind}${keys.join(" ")} next ${next} age ${reply.age}`;
    };
    return { clock, relay, readOn, ask };
  }

  it("passes on what changed, with the store's offsets", async () => {
    const { readOn, ask } = await create(createReading(7, "b=1/1", "a=2/1"));
    await readOn(5);
    expect(await ask(5)).to.equal("b=1/1 a=2/1 next 7 age 0");
    expect(await ask(6)).to.equal("a=2/1 next 7 age 0");
  });

  // Heartbeats of eighty endpoints, passed on to ninety entries, fill the link of
  // the smallest instance; they say nothing new.
  it("leaves out heartbeats, not what comes after a removal", async () => {
    const { readOn, ask } = await create(
      createReading(8, "a=1/2", "a=", "a=1/3"),
    );
    await readOn(5);
    expect(await ask(5)).to.equal("a=undefined a=1/3 next 8 age 0");
  });

  // Taken for the store's word, that of a reader which has lost the store keeps
  // its askers from reading the store.
  it("tells nothing at a reader that has lost the store", async () => {
    const clock = createFakeClock(0);
    let isLost = false;
    const relay = createTopicRelay({
      clock,
      source: {
        readNewest: () => Promise.resolve(Result.ok(createReading(5, "a=1/1"))),
        readFrom: () => Promise.resolve(Result.ok(createReading(5))),
        mayRelay: () => !isLost,
      },
      age: createKnowledgeAge({ clock, readWallTime: clock.now }),
      readContent: ({ value }) => value ?? "",
    });
    await relay.source.readNewest();
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

  it("tells how long ago the store confirmed what it knows", async () => {
    const { readOn, ask, clock } = await create("unavailable");
    await clock.advance(700);
    await readOn(5);
    expect(await ask(5)).to.equal(" next 5 age 700");
  });

  it("knows nothing of records behind what it has read", async () => {
    const { ask } = await create();
    expect(await ask(6)).to.equal("unknown");
  });

  // After a start of all, entries have read the newest records at offsets a few
  // heartbeats apart. Sent to the store for the few in between, those before
  // their relay would never get away from it.
  it("tells the newest record of each key to who lies far behind", async () => {
    const { readOn, ask } = await create(
      createReading(7, "b=1/1", "a="),
    );
    await readOn(5);
    expect(await ask(4)).to.equal("all: b=1/1 next 7 age 0");
  });

  // While another entry read the store for it, this one kept nothing. Records in
  // between would be missed by whoever trusted it.
  it("begins anew where it did not read itself", async () => {
    const { readOn, ask } = await create(createReading(10, "b=1/1"));
    await readOn(9);
    expect(await ask(5)).to.equal("unknown");
    expect(await ask(10)).to.equal(" next 10 age 0");
  });

  // An entry has read the store itself a moment after the reader did. Sent back
  // to the store for that, it would be ahead again the next time.
  it("catches up with an entry that is ahead of it", async () => {
    const { relay, readOn } = await create(createReading(7, "b=1/1", "c=1/1"));
    const news = relay.answer({
      topic: "config",
      from: createPosition(6),
      wait: 400,
      confirmWait: 1_000,
    });
    await readOn(5);
    expect(await news).to.deep.equal({
      kind: "records",
      records: [{ key: "c", value: "1/1", offset: 6 }],
      next: createPosition(7),
      age: 0,
    });
  });

  it("answers a waiting entry when something changes", async () => {
    const { relay, readOn } = await create(createReading(6, "b=1/1"));
    const news = relay.answer({
      topic: "config",
      from: createPosition(5),
      wait: 400,
      confirmWait: 1_000,
    });
    await readOn(5);
    expect(await news).to.deep.equal({
      kind: "records",
      records: [{ key: "b", value: "1/1", offset: 5 }],
      next: createPosition(6),
      age: 0,
    });
  });

  // Answered by the clock, knowledge grows older by a wait with every entry that
  // passes it on; right after a confirmation it is as young as it can be.
  it("answers after the wait once it is confirmed anew", async () => {
    const { relay, readOn, clock } = await create(createReading(5));
    let news: unknown;
    void relay.answer({
      topic: "config",
      from: createPosition(5),
      wait: 400,
      confirmWait: 1_000,
    })
      .then((reply) => news = reply);
    await clock.advance(500);
    expect(news).to.equal(undefined);
    await readOn(5);
    await clock.advance(0);
    expect(news).to.deep.equal({
      kind: "records",
      records: [],
      next: createPosition(5),
      age: -500,
    });
  });

  // Its reader is frozen, or the store is: whoever waits must ask elsewhere.
  it("tells how old it is when nothing confirms it for long", async () => {
    const { relay, clock } = await create();
    const news = relay.answer({
      topic: "config",
      from: createPosition(5),
      wait: 400,
      confirmWait: 1_000,
    });
    await clock.advance(1_400);
    expect(await news).to.deep.equal({
      kind: "records",
      records: [],
      next: createPosition(5),
      age: 0,
    });
  });

  // The relay reads at another entry, which leaves heartbeats out: offsets must
  // be the store's, or an entry that changes relays would miss a record.
  it("keeps the offsets of records that another entry passed on", async () => {
    const { readOn, ask } = await create({
      records: [{ key: "b", value: "1/1", offset: 8 }],
      next: createPosition(9),
      age: 200,
    });
    await readOn(5);
    expect(await ask(8)).to.equal("b=1/1 next 9 age 0");
    expect(await ask(9)).to.equal(" next 9 age 0");
  });

  // The store comes back from a copy: an endpoint that has left is in it again,
  // and offsets are given out anew. Whoever asks with a position of before gets
  // everything, and then what lives: only that writes again, though nothing new.
  it("begins anew with an era, and passes on who writes in it", async () => {
    const copy = { ...createReading(3, "a=1/1", "b=1/1"), isNewest: true };
    const { readOn, ask } = await create(
      { ...copy, next: createPosition(3, 1) },
      { ...createReading(4, "a=1/2"), next: createPosition(4, 1) },
      { ...createReading(5, "a=1/3"), next: createPosition(5, 1) },
    );
    await readOn(5);
    expect(await ask(5)).to.equal("all: a=1/1 b=1/1 next 3 of era 1 age 0");
    await readOn(3, 1);
    expect(await ask(3, { era: 1 })).to.equal("a=1/2 next 4 of era 1 age 0");
    await readOn(4, 1);
    expect(await ask(4, { era: 1 })).to.equal(" next 5 of era 1 age 0");
  });

  it("knows nothing of an era that it has not read", async () => {
    const { ask } = await create();
    expect(await ask(2, { era: 1 })).to.equal("unknown");
  });
});
