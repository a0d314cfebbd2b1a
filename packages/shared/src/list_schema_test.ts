import { expect } from "chai";
import * as z from "zod";
import { createListSchema } from "./list_schema.ts";

describe("the schema of a list", () => {
  const schema = z.object({
    items: createListSchema(z.object({ id: z.string() })),
  });

  it("returns the items as their schema reads them", () => {
    expect(schema.parse({ items: [{ id: "a", more: 1 }, { id: "b" }] }))
      .to.deep.equal({ items: [{ id: "a" }, { id: "b" }] });
    expect(schema.parse({ items: [] })).to.deep.equal({ items: [] });
  });

  it("refuses what is no list of such items", () => {
    for (const items of [undefined, null, {}, "a", [1], [{ id: "a" }, {}]]) {
      expect(schema.safeParse({ items }).success).to.equal(false);
    }
  });

  // Guards against a description of each of a million malformed items.
  it("describes one malformed item only", () => {
    const items = Array.from({ length: 100_000 }, () => 0);
    const checked = schema.safeParse({ items });
    expect(checked.error?.issues).to.have.length(1);
  });
});
