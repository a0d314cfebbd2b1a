import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { expect } from "chai";
import { readGeneration } from "./generation.ts";

const MAX_READ_BYTES = 16_777_216;
/** More than any reader may read; ends the test if one does. */
const ENDLESS_BYTES = 67_108_864;

/** Reads a generation that goes on until its connection is closed. */
async function readEndless(createPart: (index: number) => string) {
  let readBytes = 0;
  let index = 0;
  const body = new Readable({
    read() {
      const part = Buffer.from(createPart(index++));
      readBytes += part.length;
      this.push(readBytes > ENDLESS_BYTES ? null : part);
    },
  });
  const events = readGeneration(
    { status: 200, headers: {}, body, delimiter: "chunks" },
    { peer: "engine", next: 0 },
  );
  let tokens = 0;
  let message = "";
  for await (const event of events) {
    if (event.kind === "tokens") tokens += event.tokens.length;
    if (event.kind === "broken") message = event.failure.message;
  }
  return { tokens, message, readBytes, isClosed: body.destroyed };
}

function formatToken(sequence: number, text: string): string {
  return `event: token\nid: ${sequence}\ndata: {"text":"${text}"}\n\n`;
}

/** Guards against memory that grows for as long as an engine sends. */
describe("generations without end", function () {
  this.timeout(20_000);

  for (
    const [name, createPart] of Object.entries({
      "long tokens": (index: number) => formatToken(index, "x".repeat(10_000)),
      "empty tokens": (index: number) =>
        Array.from(
          { length: 1_000 },
          (_, offset) => formatToken(1_000 * index + offset, ""),
        ).join(""),
    })
  ) {
    it(`are given up: ${name}`, async () => {
      const { message, readBytes, isClosed } = await readEndless(createPart);
      expect(message).to.equal("engine: the stream is too long");
      expect(isClosed).to.equal(true);
      expect(readBytes).to.be.below(MAX_READ_BYTES);
    });
  }

  // Guards against values that take twenty times the memory of their text.
  it("have no event whose values take too much memory", async () => {
    const data = `{"text":"","more":[${"{},".repeat(300_000)}{}]}`;
    const { tokens, message } = await readEndless((index) =>
      `event: token\nid: ${index}\ndata: ${data}\n\n`
    );
    expect(tokens).to.equal(0);
    expect(message).to.equal("engine: token 0 is missing or malformed");
  });
});
