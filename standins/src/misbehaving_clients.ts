/**
 * Clients that do not behave: they send bodies without an end, or many requests
 * ahead whose answers they do not read.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { readdirSync, readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What one client sends: its head once, then its part again and again. */
export interface ClientForm {
  /** Sent once. */
  start: string;
  /** Sent again and again. */
  repeated: string;
  /** Bytes after which the client falls silent; it stays connected. */
  limit: number;
}

/** More than a client sends while a test watches. */
const ENDLESS = 268_435_456;

/** A client that sends a request again and again, without a pause. */
export function formatAhead(request: string): ClientForm {
  return { start: "", repeated: request, limit: ENDLESS };
}

/** A crowd of clients. */
export interface Crowd {
  /** Closes all connections. */
  close(): void;
}

/** Options of {@linkcode startCrowd}. */
export interface CrowdOptions {
  /** `ip:port`. */
  address: string;
  connections: number;
  form: ClientForm;
}

/** Parts are repeated up to this size before they are written. */
const WRITE_BYTES = 65_536;

/** Time after which a client that was disconnected is back. */
const RETURN_MS = 100;

/**
 * Starts clients that write as fast as they can, read nothing, and come back
 * when they are disconnected.
 */
export function startCrowd(
  { address, connections, form }: CrowdOptions,
): Crowd {
  const sockets = new Set<Socket>();
  let isClosed = false;

  function openClient(): void {
    if (isClosed) return;
    const socket = startClient(address, form);
    sockets.add(socket);
    socket.once("close", () => {
      sockets.delete(socket);
      setTimeout(openClient, RETURN_MS);
    });
  }

  for (let count = 0; count < connections; count++) openClient();
  return {
    close() {
      isClosed = true;
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

function startClient(
  address: string,
  { start, repeated, limit }: ClientForm,
): Socket {
  const [host = "", port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  const count = Math.max(1, Math.floor(WRITE_BYTES / repeated.length));
  const part = Buffer.from(repeated.repeat(count));
  let sent = 0;

  function write(): void {
    while (sent < limit && !socket.destroyed) {
      const rest = limit - sent;
      const next = rest < part.length ? part.subarray(0, rest) : part;
      sent += next.length;
      if (!socket.write(next)) return void socket.once("drain", write);
    }
  }

  socket.pause();
  socket.on("error", () => socket.destroy());
  socket.once("connect", () => {
    if (start !== "") socket.write(start);
    write();
  });
  return socket;
}

/** The most that a process has taken while it was watched. */
export interface ProcessPeak {
  megabytes: number;
  descriptors: number;
}

const WATCH_INTERVAL_MS = 50;

/** Watches a process for some time; returns its peak, if it lives at the end. */
export async function watchProcess(
  pid: number,
  duration: number,
): Promise<ProcessPeak | "ended"> {
  const peak: ProcessPeak = { megabytes: 0, descriptors: 0 };
  const until = Date.now() + duration;
  while (Date.now() < until) {
    await sleep(WATCH_INTERVAL_MS);
    try {
      const status = readFileSync(`/proc/${pid}/status`, "utf8");
      const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? NaN);
      if (Number.isNaN(kilobytes)) return "ended";
      const descriptors = readdirSync(`/proc/${pid}/fd`).length;
      peak.megabytes = Math.max(peak.megabytes, kilobytes / 1_024);
      peak.descriptors = Math.max(peak.descriptors, descriptors);
    } catch {
      return "ended";
    }
  }
  return peak;
}

/** A complete body in chunks of this many bytes each. */
export function formatChunks(bytes: number, size: number): string {
  const rest = bytes % size;
  return formatChunk(size).repeat(Math.floor(bytes / size)) +
    (rest === 0 ? "" : formatChunk(rest)) + "0\r\n\r\n";
}

/** One chunk of a body. */
export function formatChunk(size: number): string {
  return `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
}

/** Sends a complete request and returns the status of its answer, if any. */
export function sendWhole(
  address: string,
  parts: readonly string[],
  timeout: number,
): Promise<number | undefined> {
  const [host = "", port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => finish(undefined), timeout);
    function finish(status: number | undefined): void {
      clearTimeout(timer);
      socket.destroy();
      resolve(status);
    }
    socket.once("connect", () => parts.forEach((part) => socket.write(part)));
    socket.once("data", (data) => {
      const status = /^HTTP\/1\.1 (\d{3})/.exec(String(data))?.[1];
      finish(status === undefined ? undefined : Number(status));
    });
    socket.once("error", () => finish(undefined));
    socket.once("close", () => finish(undefined));
  });
}
