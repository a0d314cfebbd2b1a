import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as fc from "fast-check";
import { createChunkJoiner } from "./chunk_joiner.ts";

/** Decodes a body that comes in parts of these sizes. */
function join(text: string, sizes: readonly number[]) {
  const bytes = Buffer.from(text, "latin1");
  const joiner = createChunkJoiner();
  const data: Buffer[] = [];
  let at = 0;
  for (let part = 0; at < bytes.length; part++) {
    const size = sizes[part % sizes.length]!;
    const input = bytes.subarray(at, at + size);
    let isLast = false;
    for (let from = 0; from < input.length && !isLast;) {
      const read = joiner.read(input, from);
      if (read === undefined) return "malformed";
      data.push(read.data);
      at += read.at - from;
      from = read.at;
      isLast = read.isLast;
    }
    if (isLast) break;
  }
  return {
    data: Buffer.concat(data).toString("latin1"),
    rest: text.slice(at),
  };
}

function formatChunks(chunks: readonly string[], extension = ""): string {
  return chunks.map((chunk) =>
    `${chunk.length.toString(16)}${extension}\r\n${chunk}\r\n`
  ).join("");
}

describe("the chunks of a body", () => {
  it("are joined wherever its parts end", () => {
    const chunk = fc.oneof(
      fc.string({ minLength: 1, maxLength: 3 }),
      fc.string({ minLength: 1, maxLength: 600 }),
      fc.constant("y".repeat(9_000)),
    ).map((text) => Buffer.from(text).toString("latin1"));
    fc.assert(fc.property(
      fc.array(chunk, { maxLength: 20 }),
      fc.array(
        fc.oneof(
          fc.integer({ min: 1, max: 90 }),
          fc.integer({ min: 1, max: 20_000 }),
        ),
        { minLength: 1 },
      ),
      fc.constantFrom("", ";a", ';name="x"'),
      (chunks, sizes, extension) => {
        const text = formatChunks(chunks, extension) + "0\r\nrest";
        expect(join(text, sizes)).to.deep.equal({
          data: chunks.join(""),
          rest: "rest",
        });
      },
    ));
  });

  for (
    const [name, text] of Object.entries({
      "a size without digits": "\r\nx\r\n",
      "a negative size": "-1\r\nx\r\n",
      "a line without a carriage return": "1\nx\r\n",
      "data longer than its size": "1\r\nxy\r\n",
      "data shorter than its size": "3\r\nx\r\n0\r\n",
      "a size beyond 32 bits": "fffffffff\r\nx\r\n",
      "a line end within an extension": "1;a\nb\r\nx\r\n",
      "endless extensions": `1;${"a".repeat(20_000)}\r\nx\r\n`,
    })
  ) {
    it(`are malformed with ${name}`, () => {
      expect(join(text, [1_000_000])).to.equal("malformed");
      expect(join(text, [1])).to.equal("malformed");
    });
  }
});
