import { expect } from "chai";
import { parseBoundedJson } from "./bounded_json.ts";

/** Guards against short text whose values take the memory of a process. */
describe("bounded JSON", () => {
  it("rejects text whose values take too much memory", () => {
    const texts = [
      `[${"{},".repeat(1_000_000)}{}]`,
      `[${"[],".repeat(1_000_000)}[]]`,
      "[".repeat(2_000_000) + "]".repeat(2_000_000),
      `[${'"",'.repeat(2_000_000)}""]`,
    ];
    expect(texts.map(parseBoundedJson)).to.deep.equal(
      texts.map(() => undefined),
    );
  });

  it("rejects names that are indices, however they are written", () => {
    const names = ['"35":', '"35"  \t:', '"\\u0033\\u0035":', '"\\u00335" :'];
    const texts = names.map((name) =>
      `[${`{${name}1},`.repeat(10_000)}{"a":1}]`
    );
    expect(texts.map((text) => JSON.parse(text)[0])).to.deep.equal(
      names.map(() => ({ 35: 1 })),
    );
    expect(texts.map(parseBoundedJson)).to.deep.equal(
      texts.map(() => undefined),
    );
  });

  it("parses a large configuration", () => {
    const routes = Array.from({ length: 20_000 }, (_route, index) => ({
      name: `route-${index}`,
      pathPrefix: `/route-${index}/`,
      kind: "idempotent",
      service: `service-${index % 50}`,
      timeoutMs: 3_000,
      targetLatencyMs: 1_000,
      priority: 1,
      maxAttempts: 2,
      host: "example.org",
    }));
    expect(parseBoundedJson(JSON.stringify({ routes })))
      .to.deep.equal({ routes });
  });

  it("does not count what strings hold", () => {
    const text = '{"a":[1,2]}\\'.repeat(400_000);
    expect(parseBoundedJson(JSON.stringify([text, "end"])))
      .to.deep.equal([text, "end"]);
  });

  it("rejects malformed text", () => {
    const cut = `["${"x".repeat(600_000)}`;
    expect([parseBoundedJson("{"), parseBoundedJson(cut)])
      .to.deep.equal([undefined, undefined]);
  });
});
