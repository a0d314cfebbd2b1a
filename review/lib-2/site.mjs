/**
 * A small deployment for the cases of the second review: a store, runners and
 * entries, all on loopback addresses. The store and the runners are stand-ins;
 * the entries are the project's program, started with the command of the deploy
 * file. Needs only Node.js.
 */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import {
  appendFileSync,
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const STORE_ANSWER_MS = 4;
const HEARTBEAT_MS = 1_200;
/** A silent runner is removed from the store after three heartbeats. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;

/** Figures of the settings of a small deployment (fjordvik-tvist). */
export const BOUNDS = {
  stableWindowMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  revokeMs: 5_000,
  memoryMb: 350,
};

const CLOSERS = [];
let recordFile;
const startedAt = Date.now();

/** Whether the disruption happens; `TROUBLE=0` leaves it out. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Runs `close` when the case ends. */
export const onClose = (close) => CLOSERS.push(close);

/** Opens the record of a case. */
export function openRecord(folder) {
  recordFile = join(folder, "record.txt");
  writeFileSync(recordFile, `trouble: ${HAS_TROUBLE ? "yes" : "no"}\n`);
}

/** Writes one line with the time since the start. */
export function record(text) {
  const at = ((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8);
  appendFileSync(recordFile, `${at} ${text}\n`);
}

/** Processes that were started; none outlives the case. */
const CHILDREN = new Set();
process.on("exit", () => CHILDREN.forEach((child) => child.kill("SIGKILL")));
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(signal, () => process.exit(2));

/** Runs a case; ends everything that it started; exits with its result. */
export async function runCase(folder, play, limitMs = 115_000) {
  openRecord(folder);
  let code = 2;
  const limit = setTimeout(() => finish(2, "the case took too long"), limitMs);
  async function finish(result, text) {
    clearTimeout(limit);
    record(text);
    console.log(text);
    for (const close of CLOSERS.reverse()) await close();
    process.exit(result);
  }
  try {
    const isBroken = await play();
    code = isBroken ? 1 : 0;
  } catch (error) {
    record(`the case could not run: ${error?.stack ?? error}`);
  }
  await finish(code, ["the rule held", "the rule is broken", "no result"][code]);
}

/** Below the range from which the kernel takes ports of outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;
const takenPorts = new Set();

/** Finds free ports. */
export async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (takenPorts.has(port)) continue;
    const server = await listen(net.createServer(), port).catch(() => undefined);
    if (server === undefined) continue;
    await new Promise((done) => server.close(done));
    takenPorts.add(port);
    ports.push(port);
  }
  return ports;
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

export function readAll(stream) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    stream.on("data", (chunk) => chunks.push(chunk));
    stream.once("end", () => resolve(Buffer.concat(chunks)));
    stream.once("error", reject);
    stream.once("close", () => reject(new Error("cut")));
  });
}

/**
 * The platform's store. `mode` is `good`, `silent` (no answers), `busy` (503)
 * or `reset`.
 */
export async function startStore() {
  const topics = new Map();
  const sockets = new Set();
  const store = { mode: "good", calls: 0 };

  function findTopic(name) {
    let topic = topics.get(name);
    if (topic === undefined) {
      topic = { records: [], waiting: new Set() };
      topics.set(name, topic);
    }
    return topic;
  }

  function append(name, contents) {
    const topic = findTopic(name);
    const offset = topic.records.length;
    topic.records.push(...contents);
    for (const wake of [...topic.waiting]) wake();
    return { offset, end: topic.records.length };
  }

  function listNewest(name) {
    const newest = new Map();
    findTopic(name).records.forEach((content, offset) => {
      const valueAt = 1 + content[0];
      if (valueAt > content.length) return;
      const key = content.toString("utf8", 1, valueAt);
      newest.delete(key);
      if (valueAt < content.length) newest.set(key, { key, value: content.subarray(valueAt), offset });
    });
    return [...newest.values()].sort((a, b) => a.key < b.key ? -1 : 1);
  }

  function frame(content) {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(content.length);
    return Buffer.concat([head, content]);
  }

  function split(body) {
    const contents = [];
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      contents.push(body.subarray(at + 4, at + 4 + length));
      at += 4 + length;
    }
    return contents;
  }

  async function handle(request, response) {
    const body = await readAll(request).catch(() => undefined);
    if (body === undefined) return;
    store.calls++;
    if (store.mode === "silent") return;
    if (store.mode === "reset") return void request.socket.resetAndDestroy();
    if (store.mode === "busy") return void response.writeHead(503).end();
    await sleep(STORE_ANSWER_MS);
    const { pathname, searchParams: query } = new URL(request.url, "http://store");
    const name = query.get("topic") ?? "";
    const topic = findTopic(name);
    const send = (status, reply) =>
      response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(reply));
    if (pathname === "/mangoreach/log-append") return send(200, append(name, split(body)));
    if (pathname === "/mangoreach/log-newest") {
      const after = query.get("after") ?? "";
      const rest = listNewest(name).filter(({ key }) => key > after);
      const items = rest.slice(0, 500).map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
      return send(200, { items, hasMore: rest.length > items.length, end: topic.records.length });
    }
    if (pathname !== "/mangoreach/log-read") return send(404, {});
    const from = Number(query.get("from"));
    if (from > topic.records.length) return send(410, { first: 0 });
    const waitMs = Number(query.get("waitMs") ?? 0);
    if (from === topic.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiting.add(wake);
      });
      if (store.mode === "silent") return;
      if (store.mode === "reset") return void request.socket.resetAndDestroy();
      if (store.mode === "busy") return void response.writeHead(503).end();
    }
    const most = 1_024 * Number(query.get("maxKb") ?? 1_024);
    const parts = [Buffer.alloc(16)];
    let size = 0;
    for (const content of topic.records.slice(from)) {
      if (size > 0 && size + content.length + 4 > most) break;
      parts.push(frame(content));
      size += content.length + 4;
    }
    parts[0].writeBigUInt64BE(BigInt(topic.records.length), 0);
    response.writeHead(200).end(Buffer.concat(parts));
  }

  const server = await listen(http.createServer((request, response) => void handle(request, response)));
  server.keepAliveTimeout = 60_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
  });
  CLOSERS.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });

  /** Writes a record of a key; runners and the operator use it. */
  store.put = (name, key, value) => {
    const keyBytes = Buffer.from(key);
    const valueBytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    append(name, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes])]);
  };
  store.publish = (manifest) => {
    store.put("keyed.op", "config", manifest);
    record(`operator: manifest ${manifest.version} is confirmed`);
  };
  store.address = `127.0.0.1:${server.address().port}`;
  return store;
}

/**
 * A runner. `serve(request, response, body)` runs a request that is meant for
 * it. It registers in the store, as long as the store answers.
 */
export async function startRunner(store, { id, service, zone = "z1", version = "v1", slots = 64, port, serve, readLoad }) {
  const sockets = new Set();
  const born = Date.now();
  const runner = { id, service, version, born, state: "ready", isUp: true, running: 0 };
  let seq = 0;

  async function handle(request, response) {
    const requestId = request.headers["x-attempt-id"];
    const isForOther = request.headers["x-target-instance"] !== undefined && request.headers["x-target-instance"] !== id;
    if (requestId !== undefined) response.setHeader("X-Attempt-Id", requestId);
    if (readLoad !== undefined) response.setHeader("X-Server-Load", readLoad());
    if (isForOther) return void response.writeHead(421, { "X-Instance-Id": id, "X-Not-Executed": "1" }).end();
    await serve(request, response, runner);
  }

  const server = await listen(http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  }), port);
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
  });
  runner.port = server.address().port;
  runner.address = `127.0.0.1:${runner.port}`;

  function beat() {
    if (store.mode !== "good") return;
    store.put("keyed.servers", id, {
      service, address: runner.address, zone, version, slots,
      state: runner.state, coldLeftMs: 0, seq: seq++, born,
    });
  }
  beat();
  const heartbeat = setInterval(beat, HEARTBEAT_MS);

  /** Ends like a crashed process; its entry expires unless it starts again. */
  runner.crash = () => {
    clearInterval(heartbeat);
    runner.isUp = false;
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    record(`runner ${id} (${version}, born ${born}) crashes`);
    const expire = setInterval(() => {
      if (store.mode !== "good" || Date.now() - crashedAt < EXPIRY_MS) return;
      clearInterval(expire);
      if (runner.successor === undefined) store.put("keyed.servers", id, undefined);
    }, 200);
    const crashedAt = Date.now();
  };
  runner.close = () => {
    clearInterval(heartbeat);
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  CLOSERS.push(() => runner.close());
  record(`runner ${id} of ${service} (${version}, born ${born}) starts at ${runner.address}`);
  return runner;
}

function readCommand() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [, command] = /^run = "(.*)"$/m.exec(deploy);
  return command.split(" ");
}

/** Prepares an entry; `start` starts its process. */
export async function createEntry(store, { name, place = "z1", seeds = [], folder }) {
  const [callers, ready, addresses, control, metrics] = (await findPorts(5)).map((port) => `127.0.0.1:${port}`);
  const entry = { name, callers, ready, addresses, control, metrics, child: undefined, startedAt: undefined, exits: [] };
  const file = join(folder, `${name}.jsonc`);

  entry.start = () => {
    writeFileSync(file, JSON.stringify({
      entry: name, place, coreShare: 0.675, coreSpeed: 1, logLevel: "info",
      callers, ready, addresses, control, metrics, seeds: entry.seeds ?? seeds, store: store.address,
      revokeMs: BOUNDS.revokeMs, stopS: BOUNDS.graceS, repeatShare: 0.2, repeatSlack: 56,
    }));
    const [program, ...words] = readCommand();
    const child = spawn(program === "node" ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C", MANGOREACH_CONFIG: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    CHILDREN.add(child);
    child.once("exit", () => CHILDREN.delete(child));
    entry.child = child;
    entry.startedAt = Date.now();
    entry.isUp = true;
    child.once("exit", (code, signal) => {
      entry.isUp = false;
      entry.exits.push({ code, signal, at: Date.now() });
      record(`entry ${name} ends: code ${code}, signal ${signal}`);
    });
    record(`entry ${name} starts, pid ${child.pid}, callers at ${callers}`);
    return entry;
  };
  entry.kill = (signal) => {
    record(`entry ${name} gets ${signal}`);
    entry.child.kill(signal);
  };
  entry.waitUntilReady = async (limitMs = 15_000) => {
    const until = Date.now() + limitMs;
    for (;;) {
      const status = await fetch(`http://${ready}/mangoreach/readiness`).then((reply) => reply.status, () => 0);
      if (status === 200) break;
      if (Date.now() > until) throw new Error(`${name} was not ready in time`);
      await sleep(50);
    }
    record(`entry ${name} is ready`);
  };
  /**
   * Anonymous resident memory in MB. The pages count more: the pages of files
   * and the bytes that the kernel has received are left out here.
   */
  entry.readMemory = () => {
    try {
      const [, kb] = /^RssAnon:\s+(\d+)/m.exec(readFileSync(`/proc/${entry.child.pid}/status`, "utf8"));
      return Number(kb) / 1_024;
    } catch {
      return undefined;
    }
  };
  CLOSERS.push(async () => {
    if (!entry.isUp) return;
    const gone = new Promise((resolve) => entry.child.once("exit", resolve));
    entry.child.kill("SIGKILL");
    await gone;
  });
  return entry;
}

/** Creates and starts entries that know each other as seeds. */
export async function startEntries(store, count, folder) {
  const entries = [];
  for (let index = 0; index < count; index++) {
    entries.push(await createEntry(store, { name: `front-${index + 1}`, folder }));
  }
  const seeds = entries.slice(0, 3).map(({ control }) => control);
  entries.forEach((entry) => {
    entry.seeds = seeds;
    entry.start();
  });
  await Promise.all(entries.map((entry) => entry.waitUntilReady()));
  return entries;
}

/** A folder for settings and logs, removed at the end. */
export function createFolder() {
  const folder = mkdtempSync(join(tmpdir(), "review-2-"));
  if (process.env.KEEP === undefined) CLOSERS.push(() => rmSync(folder, { recursive: true, force: true }));
  else console.log(folder);
  return folder;
}

export const createId = () => randomBytes(8).toString("hex");

/** A manifest with one client account, as a small deployment has it. */
export function createManifest({ version = 7, routes, services }) {
  return {
    version,
    routes: routes.map((route) => ({ public: false, sticky: false, resumable: false, maxAttempts: 1, priority: 1, ...route })),
    services: services.map((service) => ({ healthPath: "/health", maxConns: 370, protocol: "h1", tls: false, ...service })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "bozi300", apiKeys: ["9dnn2ctnfzs989anu6ws"], priority: 1 }],
  };
}

export const HOST = "jepu9.example";
export const KEY = "9dnn2ctnfzs989anu6ws";

/** Opens a request of a client on a new channel. */
export function openRequest(address, { method = "POST", path, id = createId(), deadlineMs, headers = {}, agent = false }) {
  const [host, port] = address.split(":");
  return http.request({
    host, port, method, path, agent,
    headers: {
      "Host": HOST, "X-Attempt-Id": id, "X-Deadline-Ms": String(deadlineMs),
      "Authorization": `Bearer ${KEY}`, ...headers,
    },
  });
}

export { sleep };
