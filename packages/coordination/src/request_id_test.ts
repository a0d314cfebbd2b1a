import { expect } from "chai";
import { parseRequestId } from "./request_id.ts";

describe("request ids", () => {
  const CASES = [
    { text: "b~entry-1-ab~kx~part", kind: "bound" },
    { text: "0190b6a3-7c00-7abc-8def-0123456789ab", kind: "dated" },
    { text: "my.own_id~1", kind: "plain" },
    { text: "b~entry-1~", kind: undefined },
    { text: "has space", kind: undefined },
    { text: "", kind: undefined },
    { text: "x".repeat(161), kind: undefined },
  ];
  for (const { text, kind } of CASES) {
    it(`parses "${text.slice(0, 40)}" as ${kind ?? "malformed"}`, () => {
      expect(parseRequestId(text)?.kind).to.equal(kind);
    });
  }

  it("parses the timestamp of a UUIDv7", () => {
    const id = parseRequestId("0190b6a3-7c00-7abc-8def-0123456789ab");
    expect(id?.kind === "dated" && id.issuedAt).to.equal(0x0190b6a37c00);
  });
});
