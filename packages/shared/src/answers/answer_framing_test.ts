import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as fc from "fast-check";
import { createAnswerFraming } from "./answer_framing.ts";

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Passes a text in parts of these sizes through the framing of a connection. */
function read(
  text: string,
  { sizes = [text.length], method = "GET", isSingle = false }: {
    sizes?: readonly number[];
    method?: string;
    isSingle?: boolean;
  } = {},
) {
  const bytes = Buffer.from(text, "latin1");
  const framing = createAnswerFraming({ method, isSingle });
  let output = "";
  let parts = 0;
  for (let at = 0, part = 0; at < bytes.length; part++) {
    const end = at + sizes[part % sizes.length]!;
    const passed = framing.read(bytes.subarray(at, end));
    output += passed.toString("latin1");
    if (passed.length > 0) parts++;
    at = end;
  }
  return { output, parts, framing };
}

function formatChunks(chunks: readonly string[]): string {
  return chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`)
    .join("");
}

/** Returns the data of each final answer. */
function decodeAnswers(text: string): string[] {
  const list: string[] = [];
  for (let at = 0; at < text.length;) {
    const headEnd = text.indexOf("\r\n\r\n", at) + 4;
    const head = text.slice(at, headEnd);
    at = headEnd;
    if (head.startsWith("HTTP/1.1 103")) continue;
    const length = /content-length: (\d+)/.exec(head)?.[1];
    if (length !== undefined) {
      list.push(text.slice(at, at + Number(length)));
      at += Number(length);
      continue;
    }
    let data = "";
    for (;;) {
      const lineEnd = text.indexOf("\r\n", at) + 2;
      const size = parseInt(text.slice(at, lineEnd), 16);
      at = lineEnd;
      if (size === 0) break;
      data += text.slice(at, at + size);
      at += size + 2;
    }
    at = text.indexOf("\r\n\r\n", at) + 4;
    list.push(data);
  }
  return list;
}

describe("the framing of answers", () => {
  // Guards against an object and a callback for each chunk.
  it("joins the chunks of a read into one", () => {
    const { output } = read(
      `${CHUNKED_HEAD}${formatChunks(["a", "b", "c"])}0\r\n\r\n`,
    );
    expect(output).to.equal(`${CHUNKED_HEAD}3\r\nabc\r\n0\r\n\r\n`);
  });

  it("passes the same data on wherever parts end", () => {
    const answers = fc.array(
      fc.record({
        chunks: fc.array(fc.string({ minLength: 1, maxLength: 300 }), {
          maxLength: 8,
        }),
        kind: fc.constantFrom("chunks", "length"),
        provisional: fc.integer({ min: 0, max: 2 }),
      }),
      { minLength: 1, maxLength: 4 },
    );
    const sizes = fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1 });
    fc.assert(fc.property(answers, sizes, (list, parts) => {
      const bodies = list.map(({ chunks }) =>
        chunks.map((chunk) => Buffer.from(chunk).toString("latin1"))
      );
      const text = list.map(({ kind, provisional }, index) => {
        const early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        const data = bodies[index]!.join("");
        const body = kind === "chunks"
          ? `${CHUNKED_HEAD}${formatChunks(bodies[index]!)}0\r\nX: y\r\n\r\n`
          : `HTTP/1.1 200 OK\r\ncontent-length: ${data.length}\r\n\r\n${data}`;
        return early.repeat(provisional) + body;
      }).join("");
      expect(decodeAnswers(read(text, { sizes: parts }).output))
        .to.deep.equal(bodies.map((chunks) => chunks.join("")));
      const { framing } = read(text, { sizes: parts });
      expect(framing.framingBytes).to.equal(
        text.length - bodies.flat().join("").length,
      );
    }));
  });

  // Guards against bytes that an answer is not asked for.
  it("drops what follows the only answer", () => {
    const text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    expect(read(`${text}HTTP/1.1 200 OK\r\n\r\n`, { isSingle: true }).output)
      .to.equal(text);
  });

  it("leaves answers without a body to the next head", () => {
    const first =
      "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n";
    const { output } = read(`${first}${CHUNKED_HEAD}1\r\na\r\n1\r\nb\r\n`);
    expect(output).to.equal(`${first}${CHUNKED_HEAD}2\r\nab\r\n`);
    const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    expect(
      read(`${head}dropped`, { method: "HEAD", isSingle: true }).output,
    ).to.equal(head);
  });

  it("leaves another protocol as it is", () => {
    const text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n" +
      "1\r\na\r\n1\r\nb\r\n";
    expect(read(text).output).to.equal(text);
  });

  // Guards against a coding that the parser reads and this does not.
  for (const coding of ["gzip, chunked", "chunked, chunked", "xchunked", ""]) {
    it(`passes on no body in the coding "${coding}"`, () => {
      const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`;
      expect(read(`${head}1\r\na\r\n`).output).to.equal(head);
    });
  }

  it("reads a coding in any case and with any blanks", () => {
    const head = "HTTP/1.1 200 OK\r\ntransfer-ENCODING: \t Chunked \r\n\r\n";
    expect(read(`${head}1\r\na\r\n1\r\nb\r\n`).output)
      .to.equal(`${head}2\r\nab\r\n`);
  });

  it("leaves the refusal of malformed chunks to the parser", () => {
    expect(read(`${CHUNKED_HEAD}1\r\na\r\njunk`).output)
      .to.equal(`${CHUNKED_HEAD}\r\n`);
  });

  // Guards against framing that costs more than any answer.
  it("limits the bytes that are no data of an answer", () => {
    const chunks = "1\r\na\r\n".repeat(1_000);
    const framing = createAnswerFraming({ method: "GET", isSingle: true });
    framing.read(Buffer.from(CHUNKED_HEAD));
    let data = 0;
    while (framing.exceeded === undefined) {
      framing.read(Buffer.from(chunks));
      data += 1_000;
    }
    expect(framing.exceeded).to.equal("framing");
    expect(5 * data).to.be.within(8_388_608 - 6_000, 8_388_608 + 6_000);
  });

  it("limits the provisional answers to a call", () => {
    const early = "HTTP/1.1 103 Early Hints\r\n\r\n";
    expect(read(early.repeat(4)).framing.exceeded).to.equal(undefined);
    expect(read(early.repeat(5)).framing.exceeded)
      .to.equal("provisional_answers");
  });

  // Guards against chunks that pass unjoined: the parsers do not count blanks
  // before a value towards the limit of a head.
  it("joins chunks behind a head with many blanks", () => {
    const framing = createAnswerFraming({ method: "GET", isSingle: true });
    const begin = `HTTP/1.1 200 OK\r\nX: ${" ".repeat(17_000)}`;
    const end = "a\r\nTransfer-Encoding: chunked\r\n\r\n";
    framing.read(Buffer.from(begin));
    framing.read(Buffer.from(end));
    if (framing.exceeded !== undefined) return;
    const output = framing.read(Buffer.from("1\r\na\r\n1\r\nb\r\n"));
    expect(output.toString()).to.equal("2\r\nab\r\n");
  });

  // Guards against a connection whose next answer is dropped: the parsers read
  // no body of 204 whatever its coding, and undici reuses the connection.
  it("reads the next answer behind a 204 with another coding", () => {
    const text = "HTTP/1.1 204 No Content\r\nTransfer-Encoding: gzip\r\n\r\n" +
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const framing = createAnswerFraming({ method: "GET", isSingle: false });
    expect(framing.read(Buffer.from(text)).toString()).to.equal(text);
  });

  // Guards against a head that is read in another way behind its first part.
  it("limits the bytes of a head", () => {
    const blanks = `HTTP/1.1 200 OK\r\nX: ${" ".repeat(70_000)}`;
    expect(read(blanks).framing.exceeded).to.equal("head");
    expect(read(blanks, { sizes: [1_000] }).framing.exceeded).to.equal("head");
  });

  // Guards against lines without end that nobody sees.
  it("passes empty lines before a head on", () => {
    const text = `\r\n\r\n${CHUNKED_HEAD}`;
    expect(read(text, { sizes: [3] }).output).to.equal(text);
  });
});
