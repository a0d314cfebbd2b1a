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
  /** How many repetitions come before the answer ends; no end if left out. */
  count?: number;
  /** Sent once, behind the last repetition. */
  last?: string;
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

/** Forms of answers without end by name. */
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

/** As much as an answer may have. */
const LARGEST_BODY = 8_388_608;
const JSON_TYPE = "Content-Type: application/json";

/** Creates a body that is sound but as large as permitted. */
function createLargest(
  repeated: string,
  { headers = [], first = "", last = "", isSized = true, limit = LARGEST_BODY }:
    {
      headers?: readonly string[];
      first?: string;
      last?: string;
      isSized?: boolean;
      limit?: number;
    } = {},
): PouringForm {
  const count = Math.floor(
    (limit - first.length - last.length) / repeated.length,
  );
  const length = first.length + count * repeated.length + last.length;
  return {
    headers: [...headers, ...isSized ? [`Content-Length: ${length}`] : []],
    hasBody: true,
    first,
    repeated,
    count,
    last,
  };
}

function createLargestJson(
  item: string,
  { isSized = true }: { isSized?: boolean } = {},
): PouringForm {
  return createLargest(`${item},`, {
    headers: [JSON_TYPE],
    first: "[",
    last: `${item}]`,
    isSized,
  });
}

/** Forms of answers that end, whose contents or heads cost more than bytes. */
export const COSTLY_FORMS = {
  "JSON of empty lists with a length": createLargestJson("[]"),
  "JSON of names that are indices with a length": createLargestJson(
    '{"1":0}',
  ),
  "JSON of empty lists without a length": createLargestJson("[]", {
    isSized: false,
  }),
  "JSON of names that are indices without a length": createLargestJson(
    '{"1":0}',
    { isSized: false },
  ),
  "the largest body": createLargest("x"),
  "the largest body of events": createLargest("id: 1\ndata: x\n\n", {
    headers: ["Content-Type: text/event-stream"],
    isSized: false,
  }),
  "a small body": createLargest("x".repeat(16), { limit: 1_024 }),
  "short header lines": {
    headers: ["Content-Length: 1"],
    hasBody: false,
    first: "b:\r\n",
    repeated: "a:\r\n",
    count: 3_900,
    last: "\r\nx",
  },
  "header lines that the connection header names": {
    headers: [
      "Content-Length: 1",
      `Connection: ${"a,".repeat(4_800)}a`,
      ...Array.from({ length: 900 }, (_, at) => `${at}:`),
    ],
    hasBody: false,
    first: "b:\r\n",
    repeated: "c:\r\n",
    count: 1,
    last: "\r\nx",
  },
  "trailers without end": {
    headers: [CHUNKED],
    hasBody: true,
    first: "1\r\nx\r\n0\r\n",
    repeated: "a:\r\n",
  },
  "the extension of a chunk without end": createChunked("x", {
    first: "1;",
  }),
} as const satisfies Record<string, PouringForm>;

/** All forms by name. */
export const ALL_FORMS = { ...POURING_FORMS, ...COSTLY_FORMS } as const;

/** The name of a form. */
export type PouringFormName = keyof typeof ALL_FORMS;

/** Creates the bytes of one write, and how many repetitions they hold. */
export function createPouringBlock(
  { repeated, isSpaced = false, count: total = Infinity }: PouringForm,
): { block: Buffer; count: number } {
  const count = isSpaced
    ? 1
    : Math.min(total, Math.ceil(WRITE_BYTES / repeated.length));
  return { block: Buffer.from(repeated.repeat(count), "latin1"), count };
}
