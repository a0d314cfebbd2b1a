/**
 * Bytes that are no answer and go on until the other side closes the connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { createPouringBlock, POURING_FORMS } from "./pouring_forms.ts";

/**
 * Forms of chunks so small that they cost more than their bytes. They hold no
 * event with fields, which callers of streams could not tell from a sound one.
 */
const SMALL_CHUNK_FORMS = [
  "chunks of one byte",
  "comments of a stream in a chunk each",
  "pieces of a stream that complete no event",
] as const;

/** What has no end. */
export type EndlessShape =
  /** Provisional answers. */
  | "provisional"
  /** A head, one byte at a time. */
  | "slow_head"
  /** Header fields. */
  | "head"
  /** A body that only its connection delimits. */
  | "body"
  /** A body in chunks. */
  | "chunks"
  /** A body, one byte at a time. */
  | "slow_body"
  /** Many small chunks in each write. */
  | typeof SMALL_CHUNK_FORMS[number];

/**
 * All shapes. Endpoints of the soak test send them by turns, so that further ones
 * belong at the end: the first answers of existing seeds then stay the same.
 */
export const ENDLESS_SHAPES: readonly EndlessShape[] = [
  "provisional",
  "slow_head",
  "head",
  "body",
  "chunks",
  "slow_body",
  ...SMALL_CHUNK_FORMS,
];

const SLOW_GAP_MS = 20;
const BLOCK = Buffer.alloc(65_536, "x");
const CHUNK = Buffer.concat([
  Buffer.from(`${BLOCK.length.toString(16)}\r\n`),
  BLOCK,
  Buffer.from("\r\n"),
]);
const FIELD = Buffer.from("x-filler: 0123456789\r\n");

interface EndlessPlan {
  first: string;
  next: Buffer;
  gap: number;
}

function createPlan(shape: EndlessShape, headers: string): EndlessPlan {
  const start = `HTTP/1.1 200 OK\r\n${headers}`;
  switch (shape) {
    case "provisional":
      return {
        first: "",
        next: Buffer.from("HTTP/1.1 103 Early Hints\r\n\r\n"),
        gap: SLOW_GAP_MS,
      };
    case "slow_head":
      return {
        first: `${start}x-filler: `,
        next: Buffer.from("0"),
        gap: SLOW_GAP_MS,
      };
    case "head":
      return { first: start, next: FIELD, gap: 0 };
    case "body":
      return { first: `${start}\r\n`, next: BLOCK, gap: 0 };
    case "chunks":
      return {
        first: `${start}transfer-encoding: chunked\r\n\r\n`,
        next: CHUNK,
        gap: 0,
      };
    case "slow_body":
      return {
        first: `${start}\r\n`,
        next: Buffer.from("x"),
        gap: SLOW_GAP_MS,
      };
    default: {
      const form = POURING_FORMS[shape];
      return {
        first: `${start}${form.headers.join("\r\n")}\r\n\r\n`,
        next: createPouringBlock(form).block,
        gap: 0,
      };
    }
  }
}

/**
 * Writes such bytes, as fast as they are read or slowly; resolves with the time
 * until the connection was closed, in milliseconds.
 */
export function writeEndless(
  socket: Socket,
  { shape, headers }: {
    shape: EndlessShape;
    /** Complete header lines. */
    headers: string;
  },
): Promise<number> {
  const startedAt = Date.now();
  const { first, next, gap } = createPlan(shape, headers);
  socket.write(first);

  function writeNext(): void {
    if (socket.destroyed) return;
    if (gap > 0) {
      socket.write(next);
      return void setTimeout(writeNext, gap);
    }
    if (socket.write(next)) setImmediate(writeNext);
    else socket.once("drain", writeNext);
  }

  writeNext();
  return new Promise((resolve) =>
    socket.once("close", () => resolve(Date.now() - startedAt))
  );
}
