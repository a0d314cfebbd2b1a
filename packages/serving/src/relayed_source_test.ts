import type { Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import type { TopicReply, TopicRequest } from "@mangoreach/peers";
import type { TopicReadResult } from "./platform_interfaces.ts";
import { createRelayedSource } from "./relayed_source.ts";
import { createReadTracker } from "./read_tracker.ts";
import { createPosition } from "./test_support.ts";

const REPLY: TopicReply = {
  kind: "records",
  records: [{ key: "a", value: "1", offset: 5 }],
  next: createPosition(6),
  age: 300,
};

type Answers = Record<string, TopicReply | undefined>;

describe("relayed topic source", () => {
  function create(
    answers: Answers,
    {
      storePause = 0,
      isReader = false,
      isStoreAway = false,
      storeDelays = [],
      silence = 0,
    }: {
      storePause?: Millis;
      isReader?: boolean;
      isStoreAway?: boolean;
      /** Duration of each store read; further ones take no time. */
      storeDelays?: readonly Millis[];
      /** Time after which a request to an unresponsive entry is given up. */
      silence?: Millis;
    } = {},
  ) {
    const clock = createFakeClock(0);
    /** The waits of the store reads. */
    const waits: Millis[] = [];
    const asked: string[] = [];
    const queries: TopicRequest[] = [];
    const source = createRelayedSource({
      clock,
      random: () => 0.5,
      topic: "config",
      source: {
        readSnapshot: () => Promise.resolve(Result.err("unavailable")),
        async readFrom(from, wait) {
          asked.push("store");
          if (isStoreAway) return Result.err("unavailable");
          const delay = storeDelays[waits.length];
          waits.push(wait);
          if (delay !== undefined) await clock.sleep(delay);
          return Result.ok<TopicReadResult, never>({ records: [], next: from });
        },
      },
      chooseParents: () => ({
        isReader,
        addresses: Object.keys(answers),
        storePause,
        listOthers: () => [],
      }),
      async request(address, query) {
        asked.push(address);
        queries.push(query);
        const answer = answers[address];
        if (answer === undefined && silence > 0) await clock.sleep(silence);
        return answer;
      },
      timing: { relayWait: 400, confirmWait: 0, maxAge: 1_000 },
      reads: createReadTracker({ clock, onEnd: () => {} }),
    });
    return {
      source,
      clock,
      asked,
      queries,
      waits,
      read: (wait: Millis = 500) => source.readFrom(createPosition(5), wait),
    };
  }

  it("reads from a peer without the store, and reports the age", async () => {
    const { read, asked } = create({ reader: REPLY });
    const result = await read();
    expect(asked).to.deep.equal(["reader"]);
    expect(result.isOk && result.value).to.deep.equal({
      records: [{ key: "a", value: "1", offset: 5 }],
      next: createPosition(6),
      isSnapshot: false,
      isRelayed: true,
      age: 300,
    });
  });

  it("reads the store if this entry is a store reader", async () => {
    const { read, asked } = create({ other: REPLY }, { isReader: true });
    await read();
    expect(asked).to.deep.equal(["store"]);
  });

  // The store is unavailable to this reader only. Without data from peers it
  // would refuse every key after some seconds, although the keys are valid.
  it("reads from peers if it is a store reader without the store", async () => {
    const { read, asked } = create({ other: REPLY }, {
      isReader: true,
      isStoreAway: true,
    });
    const result = await read();
    expect(asked).to.deep.equal(["store", "other"]);
    expect(result.isOk && result.value.next).to.deep.equal(createPosition(6));
  });

  // The reader is frozen, has lost the store, or has just become a reader. A
  // key that is revoked meanwhile must not be accepted here.
  const UNUSABLE: { name: string; answer: TopicReply | undefined }[] = [
    { name: "does not answer", answer: undefined },
    { name: "does not have the offset", answer: { kind: "unknown" } },
    { name: "has lost the store itself", answer: { ...REPLY, age: 1_100 } },
  ];
  for (const { name, answer } of UNUSABLE) {
    it(`reads the store at once if the only reader ${name}`, async () => {
      const { read, asked, clock } = create({ reader: answer });
      await read();
      expect(asked).to.deep.equal(["reader", "store"]);
      await read();
      expect(asked).to.deep.equal(["reader", "store", "store"]);
      await clock.advance(1_100);
      await read();
      expect(asked.slice(3)).to.deep.equal(["reader", "store"]);
    });

    it(`asks the next reader, not the store, if one ${name}`, async () => {
      const { read, asked, queries } = create({ one: answer, two: REPLY });
      await read();
      await read();
      expect(asked).to.deep.equal(["one", "two", "two"]);
      // No time is lost with the second.
      expect(queries.map(({ wait }) => wait)).to.deep.equal([400, 0, 400]);
    });
  }

  // The first peer is asked with a wait, the second one after that. The reply
  // of the second is as fresh as its own request. The source must report the
  // age relative to the start of the whole read, or the data would seem too
  // old.
  it("reports the age relative to the start of the read", async () => {
    const { clock, read } = create({ silent: undefined, young: REPLY }, {
      silence: 700,
    });
    const reply = read();
    await clock.advance(700);
    const result = await reply;
    expect(result.isOk && result.value.age).to.equal(300 - 700);
  });

  // The store takes 350 ms for each response. If a reader treated it as lost
  // each time, it would relay nothing, and its children would add load to a
  // store that is slow already.
  it("keeps relaying while the store is slow", async () => {
    const { clock, read, source } = create({}, {
      isReader: true,
      storeDelays: [350, 350, 350],
    });
    const passesOn: boolean[] = [];
    for (let count = 0; count < 3; count++) {
      const reply = read(0);
      await clock.advance(349);
      passesOn.push(source.mayRelay());
      await clock.advance(1);
      await reply;
    }
    expect(passesOn).to.deep.equal([false, true, true]);
  });

  it("is as fresh as the end of a wait without updates", async () => {
    const { clock, read } = create({}, {
      isReader: true,
      storeDelays: [600, 3],
    });
    const ages: (Millis | undefined)[] = [];
    for (let count = 0; count < 2; count++) {
      const reply = read(600);
      await clock.advance(600);
      const { value } = (await reply) as { value: TopicReadResult };
      ages.push(value.age);
    }
    // The second was answered at once, so the wait confirms nothing.
    expect(ages).to.deep.equal([-600, 0]);
  });

  // The store is unavailable, so no peer has fresh data. With a request to each
  // relay and a call to the store every half second, a fleet of hundreds would
  // make a thousand calls a second, and the store could not recover.
  it("backs off with jitter while no peer is usable", async () => {
    const { read, asked, clock } = create({ reader: undefined }, {
      storePause: 5_000,
    });
    for (let time = 0; time < 20_000; time += 500) {
      const reply = read();
      await clock.advance(500);
      await reply;
    }
    const count = (name: string) => asked.filter((one) => one === name).length;
    expect(count("store")).to.equal(4);
    expect(count("reader")).to.equal(5);
  });

  // The store returns at once, without updates, from a wait that it does not
  // understand. When the source took this for a negative delay, each next wait
  // got longer, and the reader polled twenty times a second.
  it("never waits longer than intended, in whole milliseconds", async () => {
    const { clock, waits, read } = create({}, {
      isReader: true,
      storeDelays: [605.7, 3, 3, 3],
    });
    for (let count = 0; count < 4; count++) {
      const reply = read(600);
      await clock.advance(700);
      await reply;
    }
    expect(waits).to.deep.equal([600, 594, 600, 600]);
  });
});
