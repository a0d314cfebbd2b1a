/**
 * The streams of the stand-in engine: readers of each generation, the time for
 * which one without readers continues, resume and cancel.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CancelTimer, Clock, Millis } from "@mangoreach/shared";
import { sendJson } from "@mangoreach/shared";
import type { EngineBatch, Sequence } from "./engine_batch.ts";
import type { StandinRequest } from "./standin_server.ts";

/** Options of {@linkcode EngineStreams.open}. */
export interface StreamStart {
  response: ServerResponse;
  /** How long the generation continues without readers. */
  lingerMs: Millis;
  /** The first event. */
  start: unknown;
  /** Creates the sequence, which calls `onProgress`. */
  createSequence: (onProgress: () => void) => Sequence;
}

/** The streams of one engine. */
export interface EngineStreams {
  /** Starts a generation with its first reader. */
  open(start: StreamStart): void;
  resume(request: StandinRequest): void;
  cancel(request: StandinRequest): void;
  /** Closes the connections of all readers. */
  closeReaders(): void;
  /** Stops all generations and closes their readers. */
  removeAll(): void;
}

interface Reader {
  response: ServerResponse;
  next: number;
}

interface Generation {
  sequence: Sequence;
  lingerMs: Millis;
  readers: Set<Reader>;
  stopLinger: CancelTimer | undefined;
}

/** Finished generations can be resumed for this long. */
const FINISHED_RETENTION: Millis = 10_000;

/** Creates the streams of an engine, none at first. */
export function createEngineStreams(
  { clock, batch }: { clock: Clock; batch: EngineBatch },
): EngineStreams {
  const generations = new Map<string, Generation>();

  function open(
    { response, lingerMs, start, createSequence }: StreamStart,
  ): void {
    const generation: Generation = {
      sequence: createSequence(() => sendPending(generation)),
      lingerMs,
      readers: new Set(),
      stopLinger: undefined,
    };
    generations.set(generation.sequence.id, generation);
    writeStreamHead(response);
    sendEvent(response, "start", start);
    addReader(generation, { response, next: 0 });
    batch.add(generation.sequence);
  }

  function addReader(generation: Generation, reader: Reader): void {
    generation.stopLinger?.();
    generation.stopLinger = undefined;
    generation.readers.add(reader);
    reader.response.once("close", () => {
      generation.readers.delete(reader);
      if (generation.readers.size === 0) startLinger(generation);
    });
  }

  function startLinger(generation: Generation): void {
    const isDone =
      generation.sequence.generated === generation.sequence.tokens.length;
    const wait = isDone ? FINISHED_RETENTION : generation.lingerMs;
    generation.stopLinger = clock.startTimer(
      wait,
      () => removeGeneration(generation),
    );
  }

  function removeGeneration({ sequence, readers }: Generation): void {
    batch.remove(sequence);
    generations.delete(sequence.id);
    for (const { response } of readers) response.destroy();
  }

  function sendPending({ sequence, readers }: Generation): void {
    for (const reader of readers) {
      let text = "";
      for (; reader.next < sequence.generated; reader.next++) {
        const data = JSON.stringify(sequence.tokens[reader.next]);
        text += `event: token\nid: ${reader.next}\ndata: {"text":${data}}\n\n`;
      }
      const isDone = reader.next === sequence.tokens.length;
      if (isDone) text += `event: end\ndata: {"count":${reader.next}}\n\n`;
      if (text !== "") reader.response.write(text);
      if (isDone) reader.response.end();
    }
  }

  function resume({ response, parts, query }: StandinRequest): void {
    const generation = generations.get(parts[0] ?? "");
    if (generation === undefined) {
      return sendJson(response, { status: 404, body: { error: "no stream" } });
    }
    writeStreamHead(response);
    addReader(generation, { response, next: Number(query.get("next") ?? 0) });
    sendPending(generation);
  }

  function cancel({ response, parts }: StandinRequest): void {
    const generation = generations.get(parts[0] ?? "");
    if (generation !== undefined) removeGeneration(generation);
    sendJson(response, { status: 200, body: {} });
  }

  function closeReaders(): void {
    for (const { readers } of generations.values()) {
      for (const { response } of readers) response.destroy();
    }
  }

  function removeAll(): void {
    for (const generation of generations.values()) removeGeneration(generation);
  }

  return { open, resume, cancel, closeReaders, removeAll };
}

function writeStreamHead(response: ServerResponse): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
}

function sendEvent(
  response: ServerResponse,
  event: string,
  data: unknown,
): void {
  response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}
