/**
 * A site of real processes with the command line of deploy/system.toml, one of
 * which is told to stop, and endpoints whose work lasts as long as a request
 * says.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { CONFIG_KEY, HEADER, TOPIC } from "../../platform/src/wire_names.ts";
import type { Entry } from "./soak_entry.ts";
import { createEntry, waitUntilReady } from "./soak_entry.ts";
import { readCompleteBody, startSoakServer } from "./soak_server.ts";
import { createStopConfig } from "./stop_endpoints.ts";
import { startTopicStore } from "./topic_store.ts";

/** A running site. */
export interface LateRequestsSite {
  /** Caller addresses of all entries. */
  readonly callers: readonly string[];
  /** Ids of the requests that reached an endpoint. */
  readonly passedOn: ReadonlySet<string>;
  /**
   * Tells the first entry to stop and kills it after the time to stop; resolves
   * once it has ended.
   */
  stopFirst(): Promise<void>;
  /** Sends the first entry another signal. */
  signalFirst(signal: "SIGTERM" | "SIGHUP"): void;
  close(): void;
}

/** Options of {@linkcode startLateRequestsSite}. */
export interface LateRequestsOptions {
  /** Directory for the settings and logs of the entries. */
  folder: string;
  /** Time limit to stop, in seconds. */
  stopS: number;
}

const ENTRIES = 3;
const ENDPOINTS = 2;
const HEARTBEAT_MS = 1_000;
/** Time in which the entries discover each other. */
const DISCOVERY_MS = 3_000;

/** The command line of the entries after `node`. */
const COMMAND = /^run = "node (.*)"$/m
  .exec(readFileSync("deploy/system.toml", "utf8"))![1]!.split(" ");

function startDeployed(entry: Entry): void {
  const child = spawn(
    process.execPath,
    [...COMMAND, "--settings", entry.settingsFile],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  const log = createWriteStream(entry.logFile, { flags: "a" });
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  entry.child = child;
}

/** Starts a site; resolves once its entries are ready and know each other. */
export async function startLateRequestsSite(
  { folder, stopS }: LateRequestsOptions,
): Promise<LateRequestsSite> {
  const store = await startTopicStore();
  store.put(TOPIC.operators, CONFIG_KEY, createStopConfig(1));
  const passedOn = new Set<string>();
  const closers: (() => void)[] = [store.close];

  async function startEndpoint(pool: string, id: string): Promise<void> {
    const server = await startSoakServer((request, response) =>
      serveWork(request, response, { id, passedOn })
    );
    const publish = () =>
      store.put(TOPIC.endpoints, id, {
        service: pool,
        address: server.address,
        zone: "z",
        state: "ready",
        born: 1,
        coldLeftMs: 0,
      });
    publish();
    const timer = setInterval(publish, HEARTBEAT_MS);
    closers.push(server.close, () => clearInterval(timer));
  }

  for (let index = 0; index < ENDPOINTS; index++) {
    await startEndpoint("engine", `i-engine-${index}`);
    await startEndpoint("plain", `i-plain-${index}`);
  }
  const entries: Entry[] = [];
  for (let index = 0; index < ENTRIES; index++) {
    const entry = await createEntry(`entry-${index}`, { store, folder, stopS });
    entries.push(entry);
    startDeployed(entry);
    closers.push(
      () => entry.child?.kill("SIGKILL"),
      entry.callerProxy.close,
      entry.storeProxy.close,
    );
  }
  await Promise.all(entries.map(waitUntilReady));
  await sleep(DISCOVERY_MS);

  async function stopFirst(): Promise<void> {
    const child = entries[0]!.child!;
    const ended = new Promise<void>((resolve) =>
      child.once("exit", () => resolve())
    );
    child.kill("SIGTERM");
    const killer = setTimeout(() => child.kill("SIGKILL"), 1_000 * stopS);
    await ended;
    clearTimeout(killer);
  }

  return {
    callers: entries.map(({ callerProxy }) => callerProxy.address),
    passedOn,
    stopFirst,
    signalFirst: (signal) => void entries[0]!.child?.kill(signal),
    close: () => closers.forEach((close) => close()),
  };
}

const EVENT_GAP_MS = 50;

/** Works for as long as the path says: `/ROUTE/MS/ID`. */
async function serveWork(
  request: IncomingMessage,
  response: ServerResponse,
  { id, passedOn }: { id: string; passedOn: Set<string> },
): Promise<void> {
  await readCompleteBody(request);
  const { headers, url = "" } = request;
  const requestId = String(headers[HEADER.requestId]);
  response.setHeader(HEADER.requestId, requestId);
  if (headers[HEADER.targetInstance] !== id) {
    return void response.writeHead(421, { [HEADER.notRun]: "1" }).end();
  }
  passedOn.add(requestId);
  response.setHeader(HEADER.proof, "proof");
  const [, route, work] = url.split("/");
  if (route === "job") {
    await sleep(Number(work));
    return void response.end("done");
  }
  response.setHeader("content-type", "text/event-stream");
  for (let event = 1; event <= Number(work) / EVENT_GAP_MS; event++) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${requestId}\n\n`);
    await sleep(EVENT_GAP_MS);
  }
  response.end();
}
