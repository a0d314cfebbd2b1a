import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import type { TopicNews } from "@mangoreach/peers";
import type { KeyedReading } from "./serving_handles.ts";
import { createSharedSource } from "./shared_source.ts";

const NEWS: TopicNews = {
  kind: "records",
  records: [{ key: "a", value: "1" }],
  next: 6,
  age: 300,
};

describe("reading a topic at another entry", () => {
  function create(
    answer: TopicNews | undefined,
    readers: readonly string[] = ["reader"],
  ) {
    const clock = createFakeClock(0);
    const asked: string[] = [];
    const source = createSharedSource({
      clock,
      topic: "config",
      source: {
        readNewest: () => Promise.resolve(Result.err("unavailable")),
        readFrom: (from) => {
          asked.push("store");
          const reading: KeyedReading = { records: [], next: from };
          return Promise.resolve(Result.ok(reading));
        },
      },
      listReaders: () => readers,
      ask: (address) => {
        asked.push(address);
        return Promise.resolve(answer);
      },
    });
    return { clock, asked, read: () => source.readFrom(5, 500) };
  }

  it("does not ask the store, and tells the age", async () => {
    const { read, asked } = create(NEWS);
    const reading = await read();
    expect(asked).to.deep.equal(["reader"]);
    expect(reading.isOk && reading.value).to.deep.equal({
      records: [{ key: "a", value: "1" }],
      next: 6,
      age: 300,
    });
  });

  it("asks the store where this entry is a reader", async () => {
    const { read, asked } = create(NEWS, []);
    await read();
    expect(asked).to.deep.equal(["store"]);
  });

  // The reader is frozen, cut off from the store, or has just become one. A key
  // that is taken away meanwhile must not open anything here.
  const USELESS: { name: string; answer: TopicNews | undefined }[] = [
    { name: "is silent", answer: undefined },
    { name: "knows nothing of the offset", answer: { kind: "unknown" } },
    { name: "has lost the store itself", answer: { ...NEWS, age: 1_100 } },
  ];
  for (const { name, answer } of USELESS) {
    it(`asks the store at once if the reader ${name}`, async () => {
      const { read, asked, clock } = create(answer);
      await read();
      expect(asked).to.deep.equal(["reader", "store"]);
      await read();
      expect(asked).to.deep.equal(["reader", "store", "store"]);
      await clock.advance(2_100);
      await read();
      expect(asked.slice(3)).to.deep.equal(["reader", "store"]);
    });
  }
});
