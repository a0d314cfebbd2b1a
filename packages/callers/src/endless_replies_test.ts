import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import type { HttpStreamReply } from "@mangoreach/shared";
import { expect } from "chai";
import { readFailure } from "./caller_failures.ts";
import { readCallerStream } from "./stream_reader.ts";

const MAX_READ_BYTES = 16_777_216;
/** More than any reader may read; ends the test if one does. */
const ENDLESS_BYTES = 67_108_864;

/** Creates a reply that goes on until it is closed, and counts what is read. */
function createEndlessReply(
  status: number,
  createPart: (index: number) => string,
) {
  let readBytes = 0;
  let index = 0;
  const body = new Readable({
    read() {
      const part = Buffer.from(createPart(index++));
      readBytes += part.length;
      this.push(readBytes > ENDLESS_BYTES ? null : part);
    },
  });
  const reply: HttpStreamReply = {
    status,
    headers: {},
    body,
    delimiter: "chunks",
  };
  return { reply, countRead: () => readBytes };
}

function createProgress() {
  return {
    requestId: "r",
    resumeToken: undefined,
    tokens: [] as string[],
    textLength: 0,
  };
}

function formatToken(sequence: number, text: string): string {
  return `event: token\nid: ${sequence}\ndata: {"text":"${text}"}\n\n`;
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
    const data = `{"text":"","more":[${"{},".repeat(300_000)}{}]}`;
    const { reply } = createEndlessReply(
      200,
      (index) => `event: token\nid: ${index}\ndata: ${data}\n\n`,
    );
    const progress = createProgress();
    const end = await readCallerStream(reply, { progress, onToken: () => {} });
    expect(end.kind).to.equal("cut");
    expect(progress.tokens).to.have.length(0);
  });
});
