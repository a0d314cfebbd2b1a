import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { HEADER, PATH, TOPIC } from "../../platform/src/wire_names.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

describe("soak store restored from an older copy", () => {
  let store: TopicStore;

  beforeEach(async () => {
    store = await startTopicStore();
  });
  afterEach(() => store.close());

  async function fetchTopic(path: string) {
    const reply = await fetch(
      `http://${store.address}${path}topic=${TOPIC.operators}&part=0`,
    );
    return { reply, era: reply.headers.get(HEADER.storeEra) };
  }

  async function readSnapshot(): Promise<string[]> {
    const { reply } = await fetchTopic(`${PATH.logNewest}?`);
    const { items } = await reply.json() as {
      items: { key: string; value: string }[];
    };
    return items.map(({ key, value }) =>
      `${key} ${Buffer.from(value, "base64")}`
    );
  }

  async function loseLastRecord(): Promise<void> {
    store.put(TOPIC.operators, "config", { version: 1 });
    await sleep(60);
    store.put(TOPIC.operators, "config", { version: 2 });
    store.restore(30);
  }

  it("loses the last records and reuses their offsets", async () => {
    await loseLastRecord();
    expect(await readSnapshot()).to.deep.equal(['config {"version":1}']);
    const { reply, era } = await fetchTopic(`${PATH.logRead}?from=2&`);
    expect({ status: reply.status, era }).to.deep.equal({
      status: 410,
      era: "1",
    });
  });

  it("rewrites the records of operators", async () => {
    await loseLastRecord();
    await sleep(600);
    expect(await readSnapshot()).to.deep.equal(['config {"version":2}']);
  });

  // Guards against rewriting an old configuration over a newer one: it would be
  // the newest, and entries that start would refuse keys until the next change.
  it("does not rewrite a record whose key has a newer one", async () => {
    await loseLastRecord();
    store.put(TOPIC.operators, "config", { version: 3 });
    await sleep(600);
    expect(await readSnapshot()).to.deep.equal(['config {"version":3}']);
  });
});
