import { expect } from "chai";
import { parseAddress } from "./address.ts";

describe("address", () => {
  for (
    const [address, host] of [
      ["10.0.0.1:7000", "10.0.0.1"],
      ["entry-0.example:7000", "entry-0.example"],
      ["[::1]:7000", "::1"],
      ["::1:7000", "::1"],
      ["[fe80::1%eth0]:7000", "fe80::1%eth0"],
    ] as const
  ) {
    it(`parses ${address}`, () => {
      expect(parseAddress(address)).to.deep.equal({ host, port: 7_000 });
    });
  }

  // Guards against exceptions of Node.js for such addresses, and against
  // connections to a default host or port.
  it("rejects malformed addresses", () => {
    const malformed = [
      "",
      "abc",
      ":7000",
      "[]:7000",
      "[::1:7000",
      "::1]:7000",
      "a b:7000",
      "a\n:7000",
      "a:",
      "a:0",
      "a:-1",
      "a:1e3",
      "a:65536",
      "a:7000\n",
      "http://a:7000",
    ];
    for (const address of malformed) {
      expect(parseAddress(address), address).to.equal(undefined);
    }
  });
});
