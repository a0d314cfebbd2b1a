import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as fc from "fast-check";
import { createHeadEnd } from "./head_end.ts";

describe("the end of a head", () => {
  it("is found wherever its parts end", () => {
    fc.assert(fc.property(
      fc.array(fc.constantFrom("\r", "\n", "x"), { maxLength: 40 }),
      fc.array(fc.integer({ min: 1, max: 7 }), { minLength: 1 }),
      (bytes, sizes) => {
        const text = bytes.join("");
        const expected = text.indexOf("\r\n\r\n");
        const headEnd = createHeadEnd();
        let found = -1;
        for (let at = 0, part = 0; at < text.length && found < 0; part++) {
          const input = text.slice(at, at + sizes[part % sizes.length]!);
          const end = headEnd.find(Buffer.from(input), 0);
          if (end >= 0) found = at + end;
          at += input.length;
        }
        expect(found).to.equal(expected < 0 ? -1 : expected + 4);
      },
    ));
  });

  it("is an empty line behind a line", () => {
    expect(createHeadEnd(2).find(Buffer.from("\r\nrest"), 0)).to.equal(2);
  });
});
