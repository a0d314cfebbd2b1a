import { expect } from "chai";
import { classifyBody, classifyContent, classifyEnd } from "./answer_end.ts";
import type { AnswerEnd, ContentEnd, ContentKind } from "./answer_end.ts";
import type { EndpointCondition } from "./endpoint_check.ts";
import { createTestEndpoint } from "./test_support.ts";

describe("the end of an answer that only its connection delimits", () => {
  const TYPES: [string | undefined, ContentKind][] = [
    [undefined, "opaque"],
    ["text/event-stream", "events"],
    ["Text/Event-Stream; charset=utf-8", "events"],
    ["application/json", "json"],
    ["application/problem+json; charset=utf-8", "json"],
    ["text/plain", "opaque"],
  ];
  it("depends on the kind of content", () => {
    const found = TYPES.map(([type]) => [
      type,
      classifyContent(type === undefined ? [] : [["Content-Type", type]]),
    ]);
    expect(found).to.deep.equal(TYPES);
  });

  // Guards against parts that show their end by chance.
  const BODIES: [ContentKind, string, ContentEnd][] = [
    ["json", '{"a":[1]}', "whole"],
    ["json", '"text"', "whole"],
    ["json", '{"a":[1', "cut"],
    ["json", "", "cut"],
    ["json", "12", "unknown"],
    ["events", "id: 1\n\n", "between_events"],
    ["events", "id: 1\n\nid", "cut"],
    ["events", "", "cut"],
    ["opaque", "text", "unknown"],
    ["opaque", "", "unknown"],
  ];
  it("shows in some content", () => {
    const found = BODIES.map(([kind, body]) => [
      kind,
      body,
      classifyBody(Buffer.from(body), kind),
    ]);
    expect(found).to.deep.equal(BODIES);
  });

  // Guards against large parts that count as whole because they are not parsed.
  it("shows in JSON whose values would take too much memory", () => {
    const items = '[],{"a]":"\\\\\\"}"},'.repeat(300_000);
    const found = [
      `[${items}[]] \n`,
      `[${items}`,
      `[${items}[]`,
      `[${items}"`,
      `[${items}"]`,
      `[${items}[]]]`,
      `[${items}[]],1`,
    ].map((text) => classifyBody(Buffer.from(text), "json"));
    expect(found).to.deep.equal(["whole", ...Array(6).fill("cut")]);
  });

  // Guards against bodies of megabytes that are parsed without need.
  it("is not looked for where the length or chunks delimit it", async () => {
    let reads = 0;
    const found = await Promise.all(
      (["length", "chunks"] as const).map((delimiter) =>
        classifyEnd({
          endpoint: createTestEndpoint("e1"),
          delimiter,
          readContent() {
            reads++;
            return "cut";
          },
        }, {
          clock: { sleep: () => Promise.resolve() },
          endpointCheck: { checkCondition: () => Promise.resolve("ended") },
          directory: { isLeaving: () => false },
        })
      ),
    );
    expect([found, reads]).to.deep.equal([["whole", "whole"], 0]);
  });

  const ENDS: [ContentEnd, EndpointCondition, boolean, AnswerEnd][] = [
    ["whole", "ended", false, "whole"],
    ["cut", "listening", false, "cut"],
    ["between_events", "listening", false, "whole"],
    ["between_events", "ended", false, "cut"],
    ["between_events", "ended", true, "cut"],
    ["between_events", "unknown", true, "cut"],
    ["unknown", "listening", false, "unproven"],
    ["unknown", "ended", false, "cut"],
    ["unknown", "ended", true, "unproven"],
    ["unknown", "unknown", false, "cut"],
  ];
  it("depends on the endpoint where the content does not prove it", async () => {
    const endpoint = createTestEndpoint("e1");
    const found = await Promise.all(
      ENDS.map(async ([content, condition, isLeaving]) => [
        content,
        condition,
        isLeaving,
        await classifyEnd({
          endpoint,
          delimiter: "connection",
          readContent: () => content,
        }, {
          clock: { sleep: () => Promise.resolve() },
          endpointCheck: { checkCondition: () => Promise.resolve(condition) },
          directory: { isLeaving: () => isLeaving },
        }),
      ]),
    );
    expect(found).to.deep.equal(ENDS);
  });

  // Guards against a part that counts as whole while its endpoint ends.
  it("is confirmed by a second look at the endpoint", async () => {
    const conditions: EndpointCondition[] = ["listening", "ended"];
    const end = await classifyEnd({
      endpoint: createTestEndpoint("e1"),
      delimiter: "connection",
      readContent: () => "between_events",
    }, {
      clock: { sleep: () => Promise.resolve() },
      endpointCheck: {
        checkCondition: () => Promise.resolve(conditions.shift()!),
      },
      directory: { isLeaving: () => true },
    });
    expect(end).to.equal("cut");
  });
});
