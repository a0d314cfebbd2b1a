import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync } from "node:fs";
import type { Server } from "node:http";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { readServerAddress } from "@mangoreach/shared";
import type { ClientForm } from "@mangoreach/standins";
import {
  formatAhead,
  formatChunk,
  formatChunks,
  sendWhole,
  startCrowd,
  watchProcess,
} from "@mangoreach/standins";
import { expect } from "chai";
import type { PlatformSettings } from "../../platform/src/platform_settings.ts";
import {
  CONFIG_KEY,
  HEADER,
  PATH,
  TOPIC,
} from "../../platform/src/wire_names.ts";
import { createSoakConfig } from "./soak_config.ts";
import type { Entry } from "./soak_entry.ts";
import { createEntry, waitUntilReady } from "./soak_entry.ts";
import type { TopicStore } from "./topic_store.ts";
import { startTopicStore } from "./topic_store.ts";

/** Of a machine. */
const MAX_MEMORY_MB = 350;
const MAX_DESCRIPTORS = 4_100;
const MAX_BODY_BYTES = 4_194_304;
const ROUTE_TIMEOUT_MS = 20_000;
const ANSWER_TIMEOUT_MS = 20_000;
const CROWD_MS = 5_000;
/** Before the time-out of connections without a request. */
const IDLE_MS = 1_500;
/** Of the heap, in MB: less than a deployment has shows a fault to fewer. */
const SMALL_HEAP_MB = 48;
const ENDPOINTS = 4;
/** Of a frame of a peer, in bytes, and as it is sent before the frame. */
const FRAME_BYTES = 0x7f_7f_7f;
const FRAME_LENGTH = "\0\x7f\x7f\x7f";

const REQUEST_HEAD = "POST /plain/x HTTP/1.1\r\nhost: soak.example\r\n" +
  `authorization: Bearer key-1\r\n${HEADER.deadline}: ${ROUTE_TIMEOUT_MS}\r\n`;
let requestCount = 0;

function formatHead(framing: string): string {
  const id = `m-${requestCount++}`;
  return `${REQUEST_HEAD}${HEADER.requestId}: ${id}\r\n${framing}\r\n\r\n`;
}

/** Stops one byte short of the limit. */
function formatShort(size: number): ClientForm {
  const chunk = formatChunk(size);
  return {
    start: formatHead("transfer-encoding: chunked"),
    repeated: chunk,
    limit: Math.floor((MAX_BODY_BYTES - 1) / size) * chunk.length,
  };
}

interface CrowdCase {
  name: string;
  listener: "callers" | "ready" | "addresses" | "control" | "metrics";
  connections: number;
  heap?: number;
  createForm: () => ClientForm;
}

const CASES: readonly CrowdCase[] = [
  {
    name: "bodies in chunks of one byte that stop short of their end",
    listener: "callers",
    connections: 10,
    createForm: () => formatShort(1),
  },
  {
    name: "bodies in large chunks that stop short of their end",
    listener: "callers",
    connections: 40,
    heap: SMALL_HEAP_MB,
    createForm: () => formatShort(65_000),
  },
  {
    name: "requests without the usual headers, sent ahead, unread",
    listener: "callers",
    connections: 10,
    createForm: () => formatAhead("GET /x HTTP/1.1\r\nhost: a\r\n\r\n"),
  },
  {
    name: "sound requests, sent ahead, unread",
    listener: "callers",
    connections: 10,
    createForm: () => formatAhead(formatHead("content-length: 0")),
  },
  {
    name: "readiness, sent ahead, unread",
    listener: "ready",
    connections: 100,
    heap: SMALL_HEAP_MB,
    createForm: () => formatGet(PATH.ready),
  },
  {
    name: "address lookups, sent ahead, unread",
    listener: "addresses",
    connections: 100,
    heap: SMALL_HEAP_MB,
    createForm: () => formatGet(PATH.addresses),
  },
  {
    name: "metrics, sent ahead, unread",
    listener: "metrics",
    connections: 40,
    createForm: () => formatGet("/metrics"),
  },
  {
    name: "calls to the control address, sent ahead, unread",
    listener: "control",
    connections: 40,
    heap: SMALL_HEAP_MB,
    createForm: () => formatGet("/x"),
  },
  {
    name: "frames of peers that stop short of their end",
    listener: "control",
    connections: 60,
    createForm: () => ({
      start: "GET /peers/ HTTP/1.1\r\nhost: a\r\nconnection: Upgrade\r\n" +
        `upgrade: mangoreach-peer\r\n\r\n${FRAME_LENGTH}`,
      repeated: "x",
      limit: FRAME_BYTES - 1,
    }),
  },
];

function formatGet(path: string): ClientForm {
  return formatAhead(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
}

/** Guards against clients that make an entry hold more than its machine has. */
describe("a platform entry with clients that do not behave", function () {
  this.timeout(90_000);
  let store: TopicStore;
  let entry: Entry;
  let child: ChildProcess;
  let settings: PlatformSettings;
  const servers: Server[] = [];

  async function startEndpoint(number: number): Promise<void> {
    const server = createServer((request, response) => {
      request.resume();
      request.once("end", () => {
        const id = request.headers[HEADER.requestId] ?? "";
        response.setHeader(HEADER.requestId, id);
        response.setHeader(HEADER.proof, "proof");
        response.end("answer");
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    store.put(TOPIC.endpoints, `i-plain-${number}`, {
      service: "plain",
      address: readServerAddress(server),
      zone: "z",
      state: "ready",
      born: 1,
    });
  }

  async function start(
    { heap = 150, descriptors = MAX_DESCRIPTORS }: {
      heap?: number;
      descriptors?: number;
    } = {},
  ): Promise<void> {
    store = await startTopicStore();
    const config = createSoakConfig(1, { isRevoked: false }) as {
      limits: object;
      routes: object[];
    };
    store.put(TOPIC.operators, CONFIG_KEY, {
      ...config,
      limits: { ...config.limits, maxBodyBytes: MAX_BODY_BYTES },
      routes: config.routes.map((route) => ({
        ...route,
        timeoutMs: ROUTE_TIMEOUT_MS,
      })),
    });
    for (let n = 0; n < ENDPOINTS; n++) await startEndpoint(n);
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-misbehaving-"));
    entry = await createEntry("entry-0", { store, folder });
    settings = JSON.parse(readFileSync(entry.settingsFile, "utf8"));
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const command = /^run = "node (.*)"$/m.exec(deploy)![1]!
      .replace(/--max-old-space-size=\d+/, `--max-old-space-size=${heap}`);
    child = spawn("sh", [
      "-c",
      `ulimit -n ${descriptors}; exec "$0" ${command} --settings "$1"`,
      process.execPath,
      entry.settingsFile,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    const log = createWriteStream(entry.logFile);
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    await waitUntilReady(entry);
  }

  afterEach(() => {
    child.kill("SIGKILL");
    entry.callerProxy.close();
    entry.storeProxy.close();
    servers.splice(0).forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    store.close();
  });

  function sendOrdinary(): Promise<number | undefined> {
    const head = formatHead("content-length: 8");
    return sendWhole(
      settings.callers,
      [`${head}question`],
      ANSWER_TIMEOUT_MS,
    );
  }

  async function checkAfterwards(
    peak: Awaited<ReturnType<typeof watchProcess>>,
    descriptors = MAX_DESCRIPTORS,
  ): Promise<void> {
    if (peak === "ended") return expect.fail("the process ended");
    expect(peak.megabytes).to.be.within(1, MAX_MEMORY_MB);
    expect(peak.descriptors).to.be.within(1, descriptors);
    expect(child.exitCode ?? child.signalCode).to.equal(null);
    await waitUntilReady(entry);
    expect(await sendOrdinary()).to.equal(200);
  }

  for (const { name, listener, connections, heap, createForm } of CASES) {
    it(`lives and serves after ${name}`, async () => {
      await start(heap === undefined ? {} : { heap });
      const crowd = startCrowd({
        address: settings[listener],
        connections,
        form: createForm(),
      });
      const peak = await watchProcess(child.pid!, CROWD_MS);
      crowd.close();
      await checkAfterwards(peak);
    });
  }

  it("serves beside idle connections to all listeners", async () => {
    const descriptors = 400;
    await start({ descriptors });
    const { callers, ready, addresses, control, metrics } = settings;
    const crowds = [callers, ready, addresses, control, metrics].map(
      (address) =>
        startCrowd({
          address,
          connections: 200,
          form: { start: "", repeated: " ", limit: 0 },
        }),
    );
    const peak = await watchProcess(child.pid!, IDLE_MS);
    await checkAfterwards(peak, descriptors);
    crowds.forEach((crowd) => crowd.close());
  });

  for (const size of [1, 16, 65_536]) {
    it(`serves one body of 4 MiB in chunks of ${size} bytes`, async () => {
      await start();
      const parts = [
        formatHead("transfer-encoding: chunked"),
        formatChunks(MAX_BODY_BYTES, size),
      ];
      const [status, peak] = await Promise.all([
        sendWhole(settings.callers, parts, ROUTE_TIMEOUT_MS),
        watchProcess(child.pid!, CROWD_MS),
      ]);
      expect(status).to.equal(200);
      await checkAfterwards(peak);
    });
  }
});
