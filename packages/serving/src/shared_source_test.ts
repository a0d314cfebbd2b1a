import type { Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import type { TopicNews, TopicQuestion } from "@mangoreach/peers";
import type { KeyedReading } from "./serving_handles.ts";
import { createRelayedSource } from "./shared_source.ts";
import { createReadTracker } from "./reading_watch.ts";
import { createPosition } from "./test_support.ts";

const NEWS: TopicNews = {
  kind: "records",
  records: [{ key: "a", value: "1", offset: 5 }],
  next: createPosition(6),
  age: 300,
};

type Answers = Record<string, TopicNews | undefined>;

describe("reading a topic at another entry", () => {
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
      /** What each reading of the store takes; the others take no time. */
      storeDelays?: readonly Millis[];
      /** After this a silent entry is given up. */
      silence?: Millis;
    } = {},
  ) {
    const clock = createFakeClock(0);
    /** Waits that the store was asked for. */
    const waits: Millis[] = [];
    const asked: string[] = [];
    const questions: TopicQuestion[] = [];
    const source = createRelayedSource({
      clock,
      random: () => 0.5,
      topic: "config",
      source: {
        readNewest: () => Promise.resolve(Result.err("unavailable")),
        async readFrom(from, wait) {
          asked.push("store");
          if (isStoreAway) return Result.err("unavailable");
          const delay = storeDelays[waits.length];
          waits.push(wait);
          if (delay !== undefined) await clock.sleep(delay);
          return Result.ok<KeyedReading, never>({ records: [], next: from });
        },
      },
      chooseParents: () => ({
        isReader,
        addresses: Object.keys(answers),
        storePause,
        listOthers: () => [],
      }),
      async ask(address, question) {
        asked.push(address);
        questions.push(question);
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
      questions,
      waits,
      read: (wait: Millis = 500) => source.readFrom(createPosition(5), wait),
    };
  }

  it("does not ask the store, and tells the age", async () => {
    const { read, asked } = create({ reader: NEWS });
    const reading = await read();
    expect(asked).to.deep.equal(["reader"]);
    expect(reading.isOk && reading.value).to.deep.equal({
      records: [{ key: "a", value: "1", offset: 5 }],
      next: createPosition(6),
      isNewest: false,
      isRelayed: true,
      age: 300,
    });
  });

  it("asks the store where this entry is a reader", async () => {
    const { read, asked } = create({ other: NEWS }, { isReader: true });
    await read();
    expect(asked).to.deep.equal(["store"]);
  });

  // The store turns this reader away alone. Without the others it would refuse
  // every key after some seconds, while they know that all hold.
  it("hears from others when it is a reader and cut off", async () => {
    const { read, asked } = create({ other: NEWS }, {
      isReader: true,
      isStoreAway: true,
    });
    const reading = await read();
    expect(asked).to.deep.equal(["store", "other"]);
    expect(reading.isOk && reading.value.next).to.deep.equal(createPosition(6));
  });

  // The reader is frozen, cut off from the store, or has just become one. A key
  // that is taken away meanwhile must not open anything here.
  const USELESS: { name: string; answer: TopicNews | undefined }[] = [
    { name: "is silent", answer: undefined },
    { name: "knows nothing of the offset", answer: { kind: "unknown" } },
    { name: "has lost the store itself", answer: { ...NEWS, age: 1_100 } },
  ];
  for (const { name, answer } of USELESS) {
    it(`asks the store at once if the only reader ${name}`, async () => {
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
      const { read, asked, questions } = create({ one: answer, two: NEWS });
      await read();
      await read();
      expect(asked).to.deep.equal(["one", "two", "two"]);
      // No time is lost with the second.
      expect(questions.map(({ wait }) => wait)).to.deep.equal([400, 0, 400]);
    });
  }

  // The first is asked with a wait. What the second tells after it is as young as
  // the second question; told from the start of the reading, it seems too old.
  it("tells the age from the start of the reading", async () => {
    const { clock, read } = create({ silent: undefined, young: NEWS }, {
      silence: 700,
    });
    const reply = read();
    await clock.advance(700);
    const reading = await reply;
    expect(reading.isOk && reading.value.age).to.equal(300 - 700);
  });

  // The store takes 350 ms for each answer. Taken for lost each time, a reader
  // has nothing to pass on, and its askers press the store that is slow.
  it("goes on reading for others before a slow store", async () => {
    const { clock, read, source } = create({}, {
      isReader: true,
      storeDelays: [350, 350, 350],
    });
    const passesOn: boolean[] = [];
    for (let reading = 0; reading < 3; reading++) {
      const reply = read(0);
      await clock.advance(349);
      passesOn.push(source.mayRelay());
      await clock.advance(1);
      await reply;
    }
    expect(passesOn).to.deep.equal([false, true, true]);
  });

  it("is as young as the end of a wait without news", async () => {
    const { clock, read } = create({}, {
      isReader: true,
      storeDelays: [600, 3],
    });
    const ages: (Millis | undefined)[] = [];
    for (let reading = 0; reading < 2; reading++) {
      const reply = read(600);
      await clock.advance(600);
      const { value } = (await reply) as { value: KeyedReading };
      ages.push(value.age);
    }
    // The second was answered at once: nothing is known of the wait.
    expect(ages).to.deep.equal([-600, 0]);
  });

  // The store is away, so nobody has anything young to tell. With a question to
  // each relay and a call to the store every half second, a fleet of hundreds
  // would make a thousand calls a second, and the store would stay away.
  it("asks seldom while nobody is of use, and spreads its calls", async () => {
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

  // The store answers at once, without news, to a wait that it does not
  // understand. Taken for a store that is faster than its waits, each next wait
  // was longer by that, and the reader asked twenty times a second.
  it("never waits for longer than it means to, and for whole times", async () => {
    const { clock, waits, read } = create({}, {
      isReader: true,
      storeDelays: [605.7, 3, 3, 3],
    });
    for (let reading = 0; reading < 4; reading++) {
      const reply = read(600);
      await clock.advance(700);
      await reply;
    }
    expect(waits).to.deep.equal([600, 594, 600, 600]);
  });
});
