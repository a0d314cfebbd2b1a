/**
 * Stand-ins for the review's scripts: the platform's store, runners, the
 * platform that starts and stops the entries, and clients. They use Node.js
 * only and follow PROTOCOL.md and DEPLOY.md.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { createHash, randomBytes } from "node:crypto";
import { once } from "node:events";
import {
  appendFileSync,
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

export { sleep };

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Whether the script causes its disruption; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Writes a line with the seconds since the start to `record.txt`. */
export function createRecord(folder) {
  const file = join(folder, "record.txt");
  const startedAt = Date.now();
  writeFileSync(file, `trouble: ${hasTrouble ? "yes" : "no"}\n`);
  return (line) => {
    const at = ((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(file, `${at} ${line}\n`);
  };
}

export function createId() {
  return randomBytes(8).toString("hex");
}

/** Finds a free port on a loopback address, below the ephemeral range. */
let nextPort = 18_000 + Math.floor(Math.random() * 12_000);
export async function findPort() {
  for (;;) {
    nextPort = 18_000 + (nextPort - 18_000 + 1) % 12_000;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(nextPort, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return nextPort;
  }
}

async function listen(server, port = 0) {
  server.listen(port, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${server.address().port}`;
}

async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Starts the platform's store, a log with compacted topics. */
export async function startStore() {
  const topics = new Map();
  const sockets = new Set();
  let mode = "up";
  let era = 0;

  function findTopic(name) {
    if (!topics.has(name)) {
      topics.set(name, {
        records: [],
        writtenAt: [],
        newest: new Map(),
        waiting: new Set(),
      });
    }
    return topics.get(name);
  }

  function encode(key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value ?? "");
    return Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      valueBytes,
    ]);
  }

  function append(name, content) {
    const topic = findTopic(name);
    const offset = topic.records.length;
    topic.records.push(content);
    topic.writtenAt.push(Date.now());
    if (name.startsWith("keyed.")) applyNewest(topic, content, offset);
    for (const wake of [...topic.waiting]) wake();
    return offset;
  }

  function applyNewest({ newest }, content, offset) {
    const length = content[0];
    const key = content.subarray(1, 1 + length).toString();
    const value = content.subarray(1 + length);
    if (value.length === 0) newest.delete(key);
    else newest.set(key, { value, offset });
  }

  /** Comes back from a copy; what was written since is gone. */
  function restore(copiedAt) {
    era++;
    for (const [name, topic] of topics) {
      const kept = topic.writtenAt.filter((at) => at <= copiedAt).length;
      topic.records.length = kept;
      topic.writtenAt.length = kept;
      topic.newest.clear();
      if (name.startsWith("keyed.")) {
        topic.records.forEach((content, offset) =>
          applyNewest(topic, content, offset)
        );
      }
      for (const wake of [...topic.waiting]) wake();
    }
  }

  function put(name, key, value) {
    const text = value === undefined ? undefined : JSON.stringify(value);
    append(name, encode(key, text));
  }

  function sendJson(response, status, body) {
    response.writeHead(status, {
      "content-type": "application/json",
      "store-era": String(era),
    });
    response.end(JSON.stringify(body));
  }

  async function handle(request, response) {
    const body = await readAll(request);
    if (mode === "silent") return;
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const name = query.get("topic");
    if (url.pathname === "/mangoreach/log-append") {
      if (name === "keyed.op" || name === "keyed.servers") {
        return sendJson(response, 403, {});
      }
      let offset;
      for (let at = 0; at < body.length;) {
        const length = body.readUInt32BE(at);
        const first = append(name, body.subarray(at + 4, at + 4 + length));
        offset ??= first;
        at += 4 + length;
      }
      const end = findTopic(name).records.length;
      return sendJson(response, 200, { offset: offset ?? end, end });
    }
    if (url.pathname === "/mangoreach/log-newest") {
      const after = query.get("after") ?? "";
      const topic = findTopic(name);
      const keys = [...topic.newest.keys()].sort().filter((key) => key > after);
      const items = keys.slice(0, 500).map((key) => ({
        key,
        value: topic.newest.get(key).value.toString("base64"),
        offset: topic.newest.get(key).offset,
      }));
      return sendJson(response, 200, {
        items,
        hasMore: keys.length > 500,
        end: topic.records.length,
      });
    }
    if (url.pathname === "/mangoreach/log-read") {
      const topic = findTopic(name);
      const from = Number(query.get("from"));
      const wait = Number(query.get("waitMs") ?? 0);
      if (from >= topic.records.length && wait > 0) {
        await new Promise((resolve) => {
          const wake = () => {
            clearTimeout(timer);
            topic.waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, wait);
          topic.waiting.add(wake);
        });
      }
      if (mode === "silent") return;
      if (from > topic.records.length) {
        return sendJson(response, 410, { first: 0 });
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = [head];
      for (const record of topic.records.slice(from)) {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        parts.push(length, record);
      }
      response.writeHead(200, { "store-era": String(era) });
      return void response.end(Buffer.concat(parts));
    }
    sendJson(response, 404, {});
  }

  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  const address = await listen(server);
  return {
    address,
    put,
    restore,
    /** `up`, or `silent`: calls get no answer. */
    setMode(next) {
      mode = next;
    },
    /** Lists the keys of a compacted topic that have a record. */
    listKeys: (name) => [...findTopic(name).newest.keys()],
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/**
 * Starts a runner that registers itself in the store and serves requests by
 * `serve(request, response, body)`, which is called once a request has passed
 * the checks of every runner.
 */
export async function startRunner(
  { store, id, service, zone = "z1", slots = 64, serve, port },
) {
  const sockets = new Set();
  const born = Date.now();
  let seq = 0;
  let state = "ready";
  let coldUntil = 0;
  let isDown = false;

  function register() {
    if (isDown) return;
    store.put("keyed.servers", id, {
      service,
      address,
      zone,
      version: "v1",
      slots,
      state,
      coldLeftMs: Math.max(0, coldUntil - Date.now()),
      seq: seq++,
      born,
    });
  }

  async function handle(request, response) {
    const body = await readAll(request);
    if (request.url === "/health") {
      response.writeHead(200, {
        "x-instance-id": id,
        "x-cold-ms": String(Math.max(0, coldUntil - Date.now())),
      });
      return void response.end();
    }
    const attempt = request.headers["x-attempt-id"];
    if (attempt !== undefined) response.setHeader("x-attempt-id", attempt);
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== id) {
      response.writeHead(421, { "x-not-executed": "1" });
      return void response.end();
    }
    await serve(request, response, body);
  }

  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  const address = await listen(server, port);
  register();
  const timer = setInterval(register, 1_200);
  return {
    id,
    address,
    /** Becomes cold for some time and reports it at once. */
    setCold(duration) {
      coldUntil = Date.now() + duration;
      register();
    },
    isCold: () => Date.now() < coldUntil,
    setState(next) {
      state = next;
      register();
    },
    close() {
      isDown = true;
      clearInterval(timer);
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** The proof of a runner that it produced an answer. */
export function createSeal(id, attempt) {
  return createHash("sha256").update(`${id}/${attempt}`).digest("hex")
    .slice(0, 24);
}

/** Reads the command that starts an entry from the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Fills in the settings as the template `deploy/settings.jsonc` does. */
function createSettings(name, { zone, ports, store, seeds }) {
  const at = (port) => `127.0.0.1:${port}`;
  return {
    entry: name,
    place: zone,
    coreShare: 0.675,
    coreSpeed: 1,
    logLevel: "info",
    callers: at(ports[0]),
    ready: at(ports[1]),
    addresses: at(ports[2]),
    control: at(ports[3]),
    metrics: at(ports[4]),
    seeds,
    store,
    revokeMs: 5_000,
    stopS: 8,
    repeatShare: 0.2,
    repeatSlack: 56,
  };
}

/** The platform: starts entries, sends signals, and asks whether they are ready. */
export async function createPlatform({ store, record }) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const entries = [];
  const children = new Set();
  const seeds = [];

  async function addEntry(name, { zone = "z1" } = {}) {
    const ports = [];
    for (let count = 0; count < 5; count++) ports.push(await findPort());
    if (seeds.length < 3) seeds.push(`127.0.0.1:${ports[3]}`);
    const entry = {
      name,
      zone,
      ports,
      front: `127.0.0.1:${ports[0]}`,
      ready: `127.0.0.1:${ports[1]}`,
      directory: `127.0.0.1:${ports[2]}`,
      settingsFile: join(folder, `${name}.jsonc`),
      child: undefined,
      exit: undefined,
    };
    entries.push(entry);
    return entry;
  }

  function start(entry) {
    const settings = createSettings(entry.name, {
      zone: entry.zone,
      ports: entry.ports,
      store: store.address,
      seeds,
    });
    writeFileSync(entry.settingsFile, JSON.stringify(settings));
    const [program, ...args] = readCommand();
    const { PATH, HOME = "/", LANG = "C" } = process.env;
    const child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, MANGOREACH_CONFIG: entry.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    entry.child = child;
    entry.log = "";
    const keep = (chunk) => {
      entry.log = (entry.log + chunk).slice(-4_000_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    entry.exit = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        children.delete(child);
        record(`entry ${entry.name} ended: ${signal ?? `status ${code}`}`);
        resolve({ code, signal });
      })
    );
    record(`entry ${entry.name} started, callers at ${entry.front}`);
  }

  function send(entry, signal) {
    record(`${signal} to ${entry.name}`);
    entry.child?.kill(signal);
  }

  async function isReady({ ready }) {
    const { status } = await get(ready, "/mangoreach/readiness");
    return status === 200;
  }

  async function waitUntilReady(entry, limit = 15_000) {
    const end = Date.now() + limit;
    while (Date.now() < end) {
      if (await isReady(entry)) return true;
      await sleep(50);
    }
    return false;
  }

  function stop() {
    for (const child of children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    rmSync(folder, { recursive: true, force: true });
  }

  function abort(reason) {
    record(`the script was ended: ${reason}`);
    stop();
    process.exit(2);
  }

  process.once("SIGTERM", abort);
  process.once("SIGINT", abort);
  process.once("uncaughtException", (error) => abort(error.stack));

  return { entries, addEntry, start, send, isReady, waitUntilReady, stop };
}

/** A short GET call; the status is 0 if there is no answer within a second. */
export function get(address, path) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = http.get(
      { host, port, path, agent: false, timeout: 1_000 },
      async (response) => {
        const body = await readAll(response).catch(() => Buffer.alloc(0));
        resolve({ status: response.statusCode, body: body.toString() });
      },
    );
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve({ status: 0, body: "" }));
  });
}

/** Asks a daemon where to connect; undefined counts as a failure. */
export async function resolve(entry, { zone = "z1" } = {}) {
  const query = `name=case.example&region=r1&zone=${zone}`;
  const reply = await get(entry.directory, `/mangoreach/resolve?${query}`);
  if (reply.status !== 200) return undefined;
  const { addresses, ttlS } = JSON.parse(reply.body);
  return addresses?.length > 0 ? { addresses, ttlS } : undefined;
}

/** A client's channel, which is kept open for many requests. */
export function createChannel(address) {
  const [host, port] = address.split(":");
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  /**
   * Sends one request; resolves with how it ended: `answered`, or `cut` if the
   * channel ended without a complete answer.
   */
  function send({ path, method = "POST", headers = {}, body = "", attempt }) {
    const id = attempt ?? createId();
    return new Promise((resolveSend) => {
      const outcome = { id, status: undefined, body: "", end: undefined };
      const finish = (end, reason) => {
        if (outcome.end !== undefined) return;
        Object.assign(outcome, { end, reason });
        resolveSend(outcome);
      };
      const request = http.request({
        host,
        port,
        path,
        method,
        agent,
        headers: {
          host: "case.example",
          "x-attempt-id": id,
          "x-deadline-ms": "20000",
          "content-length": String(Buffer.byteLength(body)),
          ...headers,
        },
      }, (response) => {
        outcome.status = response.statusCode;
        outcome.seal = response.headers["x-response-seal"];
        response.setEncoding("utf8");
        response.on("data", (chunk) => outcome.body += chunk);
        response.on("end", () => finish("answered"));
        response.on("error", (error) => finish("cut", error.message));
        response.on("close", () => finish("cut", "closed"));
      });
      request.on("error", (error) => finish("cut", error.message));
      request.end(body);
    });
  }

  return { send, close: () => agent.destroy() };
}

/** The limits of a manifest, as the users' pages show them. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Ends with the verdict of a script: 1 if the rule was broken, 0 if it held. */
export function exitWith(code) {
  setTimeout(() => process.exit(code), 100);
}
