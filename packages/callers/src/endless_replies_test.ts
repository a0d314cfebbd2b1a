import {
  createCostlyTokens,
  createEndlessReply,
  ENDLESS_TOKENS,
} from "@mangoreach/standins";
import { expect } from "chai";
import { readFailure } from "./caller_failures.ts";
import { readCallerStream } from "./stream_reader.ts";

const MAX_READ_BYTES = 16_777_216;

function createProgress() {
  return {
    requestId: "r",
    resumeToken: undefined,
    tokens: [] as string[],
    textLength: 0,
  };
}

/** Guards against memory that grows for as long as an entry sends. */
describe("replies without end of an entry", function () {
  this.timeout(20_000);

  it("gives up a failure that has no end", async () => {
    const part = "x".repeat(65_536);
    const { reply, countRead } = createEndlessReply(500, () => part);
    const failure = await readFailure(reply);
    expect(failure.kind).to.equal("bad_reply");
    expect(failure.verdict).to.equal("may_have_run");
    expect(reply.body.destroyed).to.equal(true);
    expect(countRead()).to.be.below(MAX_READ_BYTES);
  });

  for (const [name, createPart] of Object.entries(ENDLESS_TOKENS)) {
    it(`gives up a stream of ${name}`, async () => {
      const { reply, countRead } = createEndlessReply(200, createPart);
      const progress = createProgress();
      const end = await readCallerStream(reply, {
        progress,
        onToken: () => {},
      });
      // It would have no end at another entry either.
      expect(end.kind).to.equal("failed");
      expect(reply.body.destroyed).to.equal(true);
      expect(countRead()).to.be.below(MAX_READ_BYTES);
    });
  }

  // Guards against values that take twenty times the memory of their text.
  it("parses no event whose values take too much memory", async () => {
    const { reply } = createEndlessReply(200, createCostlyTokens);
    const progress = createProgress();
    const end = await readCallerStream(reply, { progress, onToken: () => {} });
    expect(end.kind).to.equal("cut");
    expect(progress.tokens).to.have.length(0);
  });
});
