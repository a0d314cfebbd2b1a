import type { CreatePart } from "@mangoreach/standins";
import {
  createCostlyTokens,
  createEndlessReply,
  ENDLESS_TOKENS,
} from "@mangoreach/standins";
import { expect } from "chai";
import { readGeneration } from "./generation.ts";

const MAX_READ_BYTES = 16_777_216;

/** Reads a generation that goes on until its connection is closed. */
async function readEndless(createPart: CreatePart) {
  const { reply, countRead } = createEndlessReply(200, createPart);
  let tokens = 0;
  let message = "";
  for await (
    const event of readGeneration(reply, { peer: "engine", next: 0 })
  ) {
    if (event.kind === "tokens") tokens += event.tokens.length;
    if (event.kind === "broken") message = event.failure.message;
  }
  const isClosed = reply.body.destroyed;
  return { tokens, message, readBytes: countRead(), isClosed };
}

/** Guards against memory that grows for as long as an engine sends. */
describe("generations without end", function () {
  this.timeout(20_000);

  for (const [name, createPart] of Object.entries(ENDLESS_TOKENS)) {
    it(`are given up: ${name}`, async () => {
      const { message, readBytes, isClosed } = await readEndless(createPart);
      expect(message).to.equal("engine: the stream is too long");
      expect(isClosed).to.equal(true);
      expect(readBytes).to.be.below(MAX_READ_BYTES);
    });
  }

  // Guards against values that take twenty times the memory of their text.
  it("have no event whose values take too much memory", async () => {
    const { tokens, message } = await readEndless(createCostlyTokens);
    expect(tokens).to.equal(0);
    expect(message).to.equal("engine: token 0 is missing or malformed");
  });
});
