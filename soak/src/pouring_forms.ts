/**
 * Forms of answers without end, of which many bytes are written at a time.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** One form, as text in latin1. */
export interface PouringForm {
  /** Header lines that frame the body. */
  headers: readonly string[];
  /** Whether the head ends before the repeated bytes. */
  hasBody: boolean;
  /** Sent once, before the repeated bytes. */
  first: string;
  repeated: string;
  /** Whether each repetition is a write of its own, which takes a segment. */
  isSpaced?: boolean;
}

const WRITE_BYTES = 65_536;
const CHUNKED = "Transfer-Encoding: chunked";
const BLOCK = "x".repeat(WRITE_BYTES);

function formatChunk(data: string, extension = ""): string {
  return `${data.length.toString(16)}${extension}\r\n${data}\r\n`;
}

function createChunked(
  repeated: string,
  { first = "", isSpaced = false }: { first?: string; isSpaced?: boolean } = {},
): PouringForm {
  return { headers: [CHUNKED], hasBody: true, first, repeated, isSpaced };
}

/** All forms by name. */
export const POURING_FORMS = {
  "a header line that never ends": {
    headers: [],
    hasBody: false,
    first: "X-Filler: ",
    repeated: BLOCK,
  },
  "provisional answers": {
    headers: [],
    hasBody: false,
    first: "",
    repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
  },
  "junk where the size of a chunk is due": createChunked(BLOCK),
  "one chunk that never ends": createChunked(BLOCK, {
    first: "ffffffff\r\n",
  }),
  "chunks of one byte": createChunked(formatChunk("x")),
  "chunks of one byte, one in a write": createChunked(formatChunk("x"), {
    isSpaced: true,
  }),
  "chunks of two bytes": createChunked(formatChunk("xy")),
  "chunks of one byte with long extensions": createChunked(
    formatChunk("x", `;${"a".repeat(200)}`),
  ),
  "a huge length": {
    headers: ["Content-Length: 9007199254740991"],
    hasBody: true,
    first: "",
    repeated: BLOCK,
  },
  "a body without a length": {
    headers: [],
    hasBody: true,
    first: "",
    repeated: BLOCK,
  },
  "a body without a length, one byte in a write": {
    headers: [],
    hasBody: true,
    first: "",
    repeated: "x",
    isSpaced: true,
  },
  "pieces of a stream that complete no event": createChunked(
    formatChunk("data: x\n"),
  ),
  "events in a chunk each": createChunked(formatChunk("id: 1\ndata: x\n\n")),
  "comments of a stream in a chunk each": createChunked(
    formatChunk(": x\n\n"),
  ),
  "events, many in a chunk": createChunked(
    formatChunk("id: 1\ndata: x\n\n".repeat(4_000)),
  ),
} as const satisfies Record<string, PouringForm>;

/** The name of a form. */
export type PouringFormName = keyof typeof POURING_FORMS;

/** Creates the bytes of one write. */
export function createPouringBlock(
  { repeated, isSpaced = false }: PouringForm,
): Buffer {
  const count = isSpaced ? 1 : Math.ceil(WRITE_BYTES / repeated.length);
  return Buffer.from(repeated.repeat(count), "latin1");
}
