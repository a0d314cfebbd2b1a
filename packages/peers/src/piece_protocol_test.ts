import { expect } from "chai";
import {
  pieceRunSchema,
  pieceWaitsSchema,
  waitsQuerySchema,
} from "./piece_protocol.ts";

describe("piece protocol", () => {
  const query = { pool: "p", partition: "", priority: 1 };
  const run = {
    ...query,
    requestId: "r",
    onTime: 1,
    remaining: 1,
    resultBytes: 1,
    movedBytes: 1,
    ownsInputs: true,
    pieces: [],
  };
  const schemas = [
    { name: "runs", schema: pieceRunSchema, message: run },
    { name: "queries", schema: waitsQuerySchema, message: query },
  ];
  for (const { name, schema, message } of schemas) {
    // Entries of older builds send no account; a longer one is no account of
    // ours, and a dispatcher keeps the names.
    it(`bounds the optional account of ${name}`, () => {
      const isValid = (account: unknown) =>
        schema.safeParse({ ...message, account }).success;
      expect(schema.parse(message)).to.deep.equal(message);
      expect(isValid("a".repeat(128))).to.equal(true);
      expect(isValid("a".repeat(129))).to.equal(false);
      expect(isValid(7)).to.equal(false);
    });
  }

  it("accepts waits with and without those regardless of the account", () => {
    const waits = { onTime: 1, late: 2, growth: 0 };
    for (const value of [waits, { ...waits, overall: waits }]) {
      expect(pieceWaitsSchema.parse(value)).to.deep.equal(value);
    }
  });
});
