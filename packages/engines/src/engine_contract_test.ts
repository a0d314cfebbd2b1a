import process from "node:process";
import type { EndpointInfo } from "@mangoreach/coordination";
import { createSystemClock } from "@mangoreach/shared";
import type { EngineStandin } from "@mangoreach/standins";
import {
  BAD_REPLIES,
  deriveTokens,
  startModelEngine,
  startScriptedServer,
} from "@mangoreach/standins";
import { expect } from "chai";
import type { EngineClient } from "./engine_client.ts";
import { createEngineClient } from "./engine_client.ts";
import type { EngineOrderClient } from "./engine_orders.ts";
import { createEngineOrderClient } from "./engine_orders.ts";
import type { GenerationEvent } from "./generation.ts";

const EXTERNAL = process.env.MANGOREACH_ENGINE_URL;
const PROMPT = "null\na complaint";
const MAX_TOKENS = 20;
const MODELS = [{ name: "drafter", version: "1", adapters: [] }];

describe("model engine contract", () => {
  const clock = createSystemClock();
  let standin: EngineStandin;
  let engines: EngineClient;
  let orders: EngineOrderClient;
  let dropped: number;

  beforeEach(async () => {
    dropped = 0;
    await start(true);
    orders = createEngineOrderClient({ clock, timeoutMs: 300 });
    engines = createEngineClient({
      clock,
      timeoutMs: 300,
      onAnswer: () => {},
      onDropped: () => dropped++,
    });
  });

  afterEach(async () => {
    await engines.close();
    await orders.close();
    await standin.stop();
  });

  async function start(checksFencing: boolean): Promise<void> {
    standin = await startModelEngine({
      clock,
      lagMs: 0,
      loadMs: 0,
      checksFencing,
      models: MODELS,
      times: {
        slots: 2,
        stepMs: 3,
        perSequenceMs: 0,
        tokensPerStep: 1,
        prefillPerThousandMs: 0,
      },
    });
  }

  function createEndpoint(address = EXTERNAL ?? standin.address): EndpointInfo {
    return {
      id: "engine-1",
      incarnation: "1",
      pool: "engine",
      place: "odda",
      address,
      state: "live",
    };
  }

  function generate(address?: string, model = "drafter") {
    return engines.generate({
      endpoint: createEndpoint(address),
      requestId: "handlers/r1",
      stage: "draft",
      attempt: 1,
      model,
      prompt: PROMPT,
      prefix: "",
      maxTokens: MAX_TOKENS,
      priority: 1,
      lingerMs: 1_000,
      causalTime: "1.0",
      signal: AbortSignal.timeout(2_000),
    });
  }

  async function collect(events: AsyncGenerator<GenerationEvent>) {
    const all: GenerationEvent[] = [];
    for await (const event of events) all.push(event);
    const tokens = all.flatMap((event) =>
      event.kind === "tokens" ? event.tokens : []
    );
    const start = all.find((event) => event.kind === "start");
    return {
      tokens: tokens.map(({ text }) => text),
      last: all.at(-1),
      streamId: start?.kind === "start" ? start.streamId : "",
    };
  }

  const EXPECTED = deriveTokens(PROMPT, MAX_TOKENS);

  it("streams a complete generation in order", async () => {
    const { tokens, last } = await collect(generate());
    expect(tokens).to.deep.equal(EXPECTED);
    expect(last).to.deep.equal({ kind: "end", count: EXPECTED.length });
  });

  // The connection to the engine breaks in the middle of a stream. The engine
  // keeps generating for the linger time; resuming at the next token returns
  // the rest without missing or repeated tokens.
  it("resumes a broken stream from the next token", async () => {
    standin.faults.cutAnswers = 1;
    const broken = await collect(generate());
    expect(broken.last?.kind).to.equal("broken");
    const rest = await collect(engines.resume({
      endpoint: createEndpoint(),
      streamId: broken.streamId,
      next: broken.tokens.length,
      signal: AbortSignal.timeout(2_000),
    }));
    expect([...broken.tokens, ...rest.tokens]).to.deep.equal(EXPECTED);
  });

  it("does not resume a cancelled stream", async () => {
    const events = generate();
    const first = await events.next();
    const streamId = first.value?.kind === "start" ? first.value.streamId : "";
    await engines.cancel(createEndpoint(), streamId);
    const rest = await collect(engines.resume({
      endpoint: createEndpoint(),
      streamId,
      next: 0,
      signal: AbortSignal.timeout(500),
    }));
    expect(rest.last?.kind).to.equal("broken");
    await events.return(undefined);
  });

  it("drops a stream that belongs to another request", async () => {
    standin.faults.wrongEchoes = 1;
    const { last, tokens } = await collect(generate());
    expect(last?.kind).to.equal("broken");
    expect(tokens).to.deep.equal([]);
    expect(dropped).to.equal(1);
  });

  it("refuses a model that is not loaded with not_run", async () => {
    const { last } = await collect(generate(undefined, "other"));
    expect(last?.kind === "broken" && last.failure.verdict).to.equal("not_run");
  });

  it("reports load and cache events", async () => {
    const load = await engines.readLoad(createEndpoint());
    expect(load.isOk && load.value.slots).to.equal(2);
    const events = await engines.readCacheEvents(createEndpoint(), -1);
    expect(events.isOk).to.equal(true);
  });

  for (const { name, reply } of BAD_REPLIES) {
    it(`ends with a typed failure on ${name}`, async () => {
      const server = await startScriptedServer(reply);
      const { last, tokens } = await collect(generate(server.address));
      expect(last?.kind).to.equal("broken");
      expect(tokens).to.deep.equal([]);
      const load = await engines.readLoad(createEndpoint(server.address));
      expect(load.isErr).to.equal(true);
      await server.stop();
    });
  }

  const START = 'event: start\ndata: {"request_id":"handlers/r1",' +
    '"stage":"draft","attempt":1,"stream_id":"s"}\n\n';
  const TOKEN = (n: number) => `event: token\nid: ${n}\ndata: {"text":"t"}\n\n`;
  const END = (count: number) => `event: end\ndata: {"count":${count}}\n\n`;
  const BAD_STREAMS = [
    { name: "a gap", text: START + TOKEN(0) + TOKEN(2) + END(2) },
    { name: "a repeated token", text: START + TOKEN(0) + TOKEN(0) + END(2) },
    {
      name: "a wrong count",
      text: START + TOKEN(0) + 'event: end\ndata: {"count":2}\n\n',
    },
    { name: "no end", text: START + TOKEN(0) },
    { name: "an unknown event", text: `${START}event: what\ndata: {}\n\n` },
    {
      name: "a token that is not JSON",
      text: `${START}event: token\nid: 0\ndata: {\n\n`,
    },
  ];

  for (const { name, text } of BAD_STREAMS) {
    it(`reports a stream with ${name} as broken`, async () => {
      const server = await startScriptedServer({
        kind: "cut",
        bytes: `HTTP/1.1 200 X\r\nconnection: close\r\n\r\n${text}`,
      });
      const { last } = await collect(generate(server.address));
      expect(last?.kind).to.equal("broken");
      await server.stop();
    });
  }

  const order = (fence: number) => ({
    endpoint: createEndpoint(),
    fence,
    desired: { models: MODELS, role: "both" as const },
  });

  // A lease holder is paused until its lease has expired and another holder has
  // sent an order; then the first one resumes and sends its own. An engine that
  // checks fencing numbers refuses it, as its number is below the highest seen.
  it("refuses an order with an old fencing number", async () => {
    expect((await orders.send(order(7))).isOk).to.equal(true);
    const late = await orders.send(order(5));
    expect(late.isErr && late.error).to.include({
      kind: "rejected",
      verdict: "not_run",
    });
    expect(standin.orders.map(({ fence }) => fence)).to.deep.equal([7]);
  });

  it("accepts an order with a lower fencing number when the engine does not check", async () => {
    await standin.stop();
    await start(false);
    await orders.send(order(7));
    expect((await orders.send(order(5))).isOk).to.equal(true);
  });

  it("exports and imports a cached prefix", async () => {
    const endpoint = createEndpoint();
    const imported = await orders.importCache(endpoint, {
      prefix: "p",
      data: "kv",
    });
    expect(imported.isOk).to.equal(true);
    expect((await orders.exportCache(endpoint, "p")).isOk).to.equal(true);
    expect((await orders.exportCache(endpoint, "q")).isErr).to.equal(true);
  });
});
