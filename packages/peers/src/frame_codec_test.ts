import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as fc from "fast-check";
import { createFrameDecoder, encodeFrame } from "./frame_codec.ts";

describe("frame codec", () => {
  // Guards against frames that are lost or joined at the bounds of chunks.
  it("decodes frames from chunks of any size", () => {
    fc.assert(fc.property(
      fc.array(fc.json().map((text) => JSON.parse(text) as unknown)),
      fc.infiniteStream(fc.integer({ min: 1, max: 40 })),
      (messages, sizes) => {
        const bytes = Buffer.concat(messages.map((m) => encodeFrame(m)!));
        const decoded: unknown[] = [];
        const decoder = createFrameDecoder((message) => decoded.push(message));
        for (let at = 0; at < bytes.length;) {
          const size = sizes.next().value;
          expect(decoder.add(bytes.subarray(at, at + size))).to.equal(
            undefined,
          );
          at += size;
        }
        expect(decoded).to.deep.equal(messages);
      },
    ));
  });

  it("rejects frames that are too large or not JSON", () => {
    expect(encodeFrame("x".repeat(8 * 1_048_576))).to.equal(undefined);
    const add = (bytes: number[]) =>
      createFrameDecoder(() => {}).add(Buffer.from(bytes));
    expect(add([0, 128, 0, 1])).to.equal("a frame is too large");
    expect(add([0, 0, 0, 1, 123])).to.equal("a frame is not JSON");
  });
});
