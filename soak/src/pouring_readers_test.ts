import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { Buffer } from "node:buffer";
import type { Server } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { createCallerClient } from "@mangoreach/callers";
import type { EndpointInfo } from "@mangoreach/coordination";
import {
  createEngineClient,
  createEngineOrderClient,
} from "@mangoreach/engines";
import { createInstanceListClient } from "@mangoreach/instance_list";
import { createLogClient, startLogTail } from "@mangoreach/log";
import { createServiceClient } from "@mangoreach/services";
import {
  createHeldBytes,
  createHttpClient,
  createSilentLogger,
  createSystemClock,
  readServerAddress,
  startServer,
} from "@mangoreach/shared";
import { createStageClient } from "@mangoreach/stages";
import { createWeightStoreClient } from "@mangoreach/weight_store";
import { expect } from "chai";
import { createStageClient as createReleaseClient } from "../../platform/src/stage_client.ts";
import { createStoreClient } from "../../platform/src/store_client.ts";
import { readCoreWait } from "./core_wait.ts";
import type { PouringMessage, PouringOrder } from "./pouring_endpoints.ts";
import type { PouringFormName } from "./pouring_forms.ts";
import { POURING_FORMS } from "./pouring_forms.ts";

/** Deadline of calls that have one. */
const DEADLINE_MS = 1_000;
/** The longest time-out is the log's, with 2 s beside the requested wait. */
const MAX_TIME_MS = 5_000;
/** Beside what the process has held before; all forms are read at a time. */
const MAX_GROWTH_MB = 160;
const MAX_OTHER_MS = 1_000;
const SAMPLE_MS = 20;
const MB = 1_048_576;
/** Of one process on the platform. */
const MAX_HELD_BYTES = 67_108_864;
const HTTP_LIMITS = {
  maxHeaderBytes: 16_384,
  requestTimeoutMs: 5_000,
  maxConnections: 100,
};

/** One call, made to a server that pours; resolves when it has ended. */
type Read = (address: string) => Promise<unknown>;

const forms = Object.keys(POURING_FORMS) as PouringFormName[];
const clock = createSystemClock();
const heldBytes = createHeldBytes(MAX_HELD_BYTES);
const ignore = () => {};
const endpointOptions = { clock, onAnswer: ignore, onDropped: ignore };
const identity = { requestId: "r", stage: "s", attempt: 1, causalTime: "1.0" };

function createSignal(): AbortSignal {
  return AbortSignal.timeout(DEADLINE_MS);
}

function createEndpoint(address: string): EndpointInfo {
  return {
    id: "e",
    incarnation: "e-1",
    pool: "pool",
    place: "p",
    address,
    state: "live",
  };
}

/** Makes a call by a client of its own, as one address is used by each. */
async function use<T extends { close(): Promise<void> }>(
  client: T,
  call: (client: T) => Promise<unknown>,
): Promise<unknown> {
  try {
    return await call(client);
  } finally {
    await client.close();
  }
}

async function readAll(events: AsyncIterable<unknown>): Promise<unknown> {
  let last: unknown;
  for await (const event of events) last = event;
  return last;
}

function useStore(
  address: string,
  call: (store: ReturnType<typeof createStoreClient>) => Promise<unknown>,
): Promise<unknown> {
  return use(
    createHttpClient(),
    (http) => call(createStoreClient({ clock, heldBytes, http, address })),
  );
}

const useEngine = (
  call: (
    client: ReturnType<typeof createEngineClient>,
    endpoint: EndpointInfo,
  ) => Promise<unknown>,
): Read =>
(address) =>
  use(
    createEngineClient({ ...endpointOptions, timeoutMs: DEADLINE_MS }),
    (client) => call(client, createEndpoint(address)),
  );

const useOrders = (
  call: (
    client: ReturnType<typeof createEngineOrderClient>,
    endpoint: EndpointInfo,
  ) => Promise<unknown>,
): Read =>
(address) =>
  use(
    createEngineOrderClient({ clock, timeoutMs: DEADLINE_MS }),
    (client) => call(client, createEndpoint(address)),
  );

const useLog = (
  call: (client: ReturnType<typeof createLogClient>) => Promise<unknown>,
): Read =>
(address) =>
  use(
    createLogClient({ clock, address, appendTimeoutMs: DEADLINE_MS }),
    call,
  );

/** Makes a caller's call at the one entry that a sound server names. */
const useCaller = (
  call: (client: ReturnType<typeof createCallerClient>) => Promise<unknown>,
): Read =>
async (address) => {
  const body = JSON.stringify({
    addresses: [{ entry: "e", place: "p", address, binding: "b" }],
    keep_ms: 10_000,
    ask_again_ms: 10_000,
  });
  const server = await startSound(body);
  try {
    return await use(
      createCallerClient({
        clock,
        credentials: { account: "a", key: "k" },
        place: "p",
        knownAddresses: [readServerAddress(server)],
        createUniqueText: () => "unique",
      }),
      call,
    );
  } finally {
    server.closeAllConnections();
    server.close();
  }
};

const callerOptions = {
  className: "interactive",
  deadlineMs: DEADLINE_MS,
  idempotent: false,
};
const pipelineRequest = {
  ...callerOptions,
  pipeline: "p",
  body: { text: "question" },
};

const READS: Record<string, Read> = {
  "the store's snapshot": (address) =>
    useStore(address, (store) => store.createSource("t").readSnapshot()),
  "the store's records": (address) =>
    useStore(
      address,
      (store) => store.createSource("t").readFrom({ era: 0, offset: 0 }, 0),
    ),
  "the store's log of streams": (address) =>
    useStore(address, (store) => store.streams.readNewest(100)),
  "the store's answer to an append": (address) =>
    useStore(
      address,
      (store) => store.versions.publish({ pool: "p", versions: ["1"] }),
    ),
  "the release of results": (address) =>
    use(createHttpClient({ heldBytes }), (http) =>
      createReleaseClient({
        clock,
        http,
        releaseHttp: http,
        logger: createSilentLogger(),
      }).release(address, ["a/b"], { mayRepeat: () => false })),
  "an engine's generation": useEngine((client, endpoint) =>
    readAll(client.generate({
      ...identity,
      endpoint,
      model: "m",
      prompt: "p",
      prefix: "",
      maxTokens: 10,
      priority: 1,
      lingerMs: 0,
      signal: createSignal(),
    }))
  ),
  "an engine's resumed generation": useEngine((client, endpoint) =>
    readAll(client.resume({
      endpoint,
      streamId: "s",
      next: 1,
      signal: createSignal(),
    }))
  ),
  "an engine's answer to a cancel": useEngine((client, endpoint) =>
    client.cancel(endpoint, "s")
  ),
  "an engine's load": useEngine((client, endpoint) =>
    client.readLoad(endpoint)
  ),
  "an engine's cache events": useEngine((client, endpoint) =>
    client.readCacheEvents(endpoint, 0)
  ),
  "an engine's answer to an order": useOrders((client, endpoint) =>
    client.send({ endpoint, fence: 1, desired: { models: [], role: "both" } })
  ),
  "an engine's state": useOrders((client, endpoint) =>
    client.readState(endpoint)
  ),
  "an engine's cache": useOrders((client, endpoint) =>
    client.exportCache(endpoint, "prefix")
  ),
  "a service's answer": (address) =>
    use(createServiceClient(endpointOptions), (client) =>
      client.call({
        ...identity,
        endpoint: createEndpoint(address),
        path: "a",
        contentType: "text/plain",
        body: Buffer.from("question"),
        signal: createSignal(),
      })),
  "a stage's result": (address) =>
    use(createStageClient(endpointOptions), (client) =>
      client.call({
        ...identity,
        endpoint: createEndpoint(address),
        input: { text: "question", previous: null },
        signal: createSignal(),
      })),
  "the log's answer to an append": useLog((client) =>
    client.append("config", {})
  ),
  "a page of the log": useLog((client) =>
    client.read("config", {
      from: 0,
      waitMs: 0,
      signal: new AbortController().signal,
    })
  ),
  "the tail of the log": useLog((log) =>
    startLogTail({
      clock,
      log,
      stream: "config",
      from: 0,
      signal: createSignal(),
      random: () => 0,
    }).task
  ),
  "the instance list": (address) =>
    use(
      createInstanceListClient({ clock, address, timeoutMs: DEADLINE_MS }),
      (client) => client.read(0),
    ),
  "the weight store": (address) =>
    use(
      createWeightStoreClient({ clock, address, timeoutMs: DEADLINE_MS }),
      (client) => client.find("w"),
    ),
  "an entry's addresses": (address) =>
    use(
      createCallerClient({
        clock,
        credentials: { account: "a", key: "k" },
        place: "p",
        knownAddresses: [address],
        createUniqueText: () => "unique",
      }),
      (client) => client.createRequestId(),
    ),
  "an entry's answer of a pipeline": useCaller((client) =>
    client.runPipeline(pipelineRequest)
  ),
  "an entry's answer of a service": useCaller((client) =>
    client.callService({
      ...callerOptions,
      service: "s",
      path: "a",
      body: "question",
    })
  ),
  "an entry's stream": useCaller((client) =>
    client.streamPipeline(pipelineRequest, ignore)
  ),
};

function startSound(body: string): Promise<Server> {
  return startServer(
    (_request, response) => {
      response.setHeader("content-type", "application/json");
      response.end(body);
    },
    { address: { host: "127.0.0.1", port: 0 }, limits: HTTP_LIMITS },
  );
}

function measureMemory(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Guards against an answer without end that fills the memory, makes the process
 * stand still, or holds a call beyond its time-out.
 */
describe("a reader of answers without end", function () {
  this.timeout(20_000);
  let pourers: ChildProcess;
  let addresses: readonly string[] = [];
  let sound: Server;

  function readMessage(): Promise<PouringMessage> {
    return new Promise((resolve) => pourers.once("message", resolve));
  }

  async function sendOrder(order: PouringOrder): Promise<number> {
    pourers.send(order);
    const message = await readMessage();
    return message.kind === "ordered" ? message.poured : 0;
  }

  before(async () => {
    sound = await startSound("{}");
    pourers = fork("soak/src/pouring_endpoints.ts", [String(forms.length)], {
      execArgv: ["--import", "tsx"],
    });
    const first = await readMessage();
    if (first.kind === "listening") addresses = first.addresses;
  });

  after(() => {
    pourers.kill("SIGKILL");
    sound.closeAllConnections();
    sound.close();
  });

  /** Makes other calls meanwhile; returns what went wrong beside the reads. */
  async function watchProcess(hasEnded: () => boolean): Promise<string[]> {
    const address = readServerAddress(sound);
    const before = measureMemory();
    let most = before;
    let slowest = 0;
    let failed = 0;
    await use(createHttpClient(), async (http) => {
      while (!hasEnded()) {
        const sentAt = performance.now() - readCoreWait(process.pid);
        const reply = await http.call({ method: "GET", address, path: "/" });
        const took = performance.now() - readCoreWait(process.pid) - sentAt;
        slowest = Math.max(slowest, took);
        if (reply.isErr) failed++;
        most = Math.max(most, measureMemory());
        await sleep(SAMPLE_MS);
      }
    });
    const growth = Math.round((most - before) / MB);
    return [
      ...(failed === 0 ? [] : [`${failed} other calls failed`]),
      ...(slowest <= MAX_OTHER_MS
        ? []
        : [`another call took ${Math.round(slowest)} ms`]),
      ...(growth <= MAX_GROWTH_MB ? [] : [`it took ${growth} MB`]),
    ];
  }

  /** Reads all at the same time, one from each endpoint. */
  async function listViolations(
    read: Read,
    { status, poured }: {
      status: number;
      poured: readonly PouringFormName[];
    },
  ): Promise<string[]> {
    for (const [endpoint, form] of poured.entries()) {
      await sendOrder({ form, status, endpoint });
    }
    let ended = 0;
    const reads = poured.map(async (form, index) => {
      const startedAt = performance.now();
      await Promise.race([read(addresses[index]!), sleep(2 * MAX_TIME_MS)]);
      ended++;
      const took = Math.round(performance.now() - startedAt);
      return took <= MAX_TIME_MS ? [] : [`${form} took ${took} ms`];
    });
    const [watched, ...found] = await Promise.all([
      watchProcess(() => ended === poured.length),
      ...reads,
    ]);
    return [...watched, ...found.flat()];
  }

  for (const [name, read] of Object.entries(READS)) {
    for (const status of [200, 500]) {
      it(`goes on beside other calls: ${name}, ${status}`, async () => {
        expect(await listViolations(read, { status, poured: forms }))
          .to.deep.equal([]);
      });

      // Whatever is held or done for each chunk shows most here.
      it(`bears many small chunks: ${name}, ${status}`, async () => {
        const poured = forms.map(() => "chunks of one byte" as const);
        expect(await listViolations(read, { status, poured }))
          .to.deep.equal([]);
      });
    }
  }
});
