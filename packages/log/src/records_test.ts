import { expect } from "chai";
import { logPageSchema } from "./records.ts";

describe("a page of the log", () => {
  // Guards against a description of each of a million malformed records, which
  // takes hundreds of megabytes.
  it("describes one malformed record only", () => {
    const records = Array.from({ length: 100_000 }, () => 0);
    const checked = logPageSchema.safeParse({ first: 0, next: 1, records });
    expect(checked.error?.issues).to.have.length(1);
  });
});
