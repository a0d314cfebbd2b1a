import { expect } from "chai";
import * as fc from "fast-check";
import * as z from "zod";
import { createMessageReader } from "./message_check.ts";
import { exchangeSchema } from "./peer_protocol.ts";
import {
  pieceRunReplySchema,
  pieceRunSchema,
  waitsQuerySchema,
  waitsReplySchema,
} from "./piece_protocol.ts";
import { runReportSchema } from "./run_protocol.ts";
import { topicRepliesSchema, topicRequestsSchema } from "./topic_protocol.ts";

/** Schemas with a valid message that has all their fields. */
const SCHEMAS: [string, z.ZodType, string][] = [
  [
    "exchange",
    exchangeSchema,
    `{
    "heartbeats": [["a",1,"live",2,3,0], ["b",1,"unready",2,3,0]],
    "introductions": [{"entry":"e","incarnation":"a","heartbeat":1,
      "state":"live","configVersion":1,"inFlight":0,"strainedPriority":0,
      "startedAt":0.5,"capacity":1,"place":"p","callerAddress":"a",
      "controlAddress":"b"}],
    "leaving": [{"endpointKey":"k","age":1,"isSaid":true}],
    "limits": [{"endpointKey":"k","rateLimit":null,"age":0}],
    "known": 1, "unreached": [["a",1]],
    "poison": {"quarantined": [{"content":"c","endpointKeys":["k"],"term":1}],
      "suspected": [{"content":"c","age":1}]}}`,
  ],
  [
    "run",
    pieceRunSchema,
    `{"pool":"p","partition":"","requestId":"r",
    "priority":0,"onTime":-1.5,"remaining":5,"place":"a","resultBytes":1,
    "movedBytes":0,"ownsInputs":true,"pieces": [
      {"stage":0,"piece":0,"source":{"kind":"key","key":"k"}},
      {"stage":1,"piece":1,
        "source":{"kind":"results","results":["r"],"pools":["p"]}}]}`,
  ],
  [
    "reply to a run",
    pieceRunReplySchema,
    `{"outcomes":
    [{"kind":"done","result":"r"}, {"kind":"failed","reason":"late"}],
    "waits":{"onTime":0,"late":1,"growth":0.5},"freedInputs":false,
    "ends":[{"endpointKey":"k","sentAgo":1,"endedAgo":0}]}`,
  ],
  [
    "waits",
    waitsReplySchema,
    `{"onTime":0,"late":1,"growth":0.5,
    "others":[{"onTime":0,"late":1,"growth":0,"priority":1}]}`,
  ],
  [
    "query",
    waitsQuerySchema,
    `{"pool":"p","partition":"","others":[1],
    "priority":0}`,
  ],
  [
    "report",
    runReportSchema,
    `{"ended": [{"endpointKey":"k","sentAgo":1,
    "endedAgo":0,"content":"c"}],"completed":["c"]}`,
  ],
  [
    "requests for topics",
    topicRequestsSchema,
    `[{"topic":"config",
    "from":{"era":0,"offset":0},"wait":5,"confirmWait":0}]`,
  ],
  [
    "replies with topics",
    topicRepliesSchema,
    `[{"kind":"newest",
    "records":[{"key":"k","value":"v","offset":1},{"key":"k"}],
    "next":{"era":0,"offset":0},"age":-1}, {"kind":"unknown"}]`,
  ],
];

const NUMBERS = [-1, 0, 0.5, 1e300, Infinity, 10_001, 2 ** 53];
const anything = fc.oneof(
  fc.constantFrom<unknown>(...NUMBERS, null, true, "", "live", "key", [], {}),
  fc.jsonValue(),
  fc.array(fc.constant(["a", 1]), { minLength: 64, maxLength: 65 }),
);

/** Replaces, removes or adds a value at a random place. */
function replaceAt(value: unknown, path: number[], other: unknown): unknown {
  const [step, ...rest] = path;
  if (step === undefined || typeof value !== "object" || value === null) {
    return other;
  }
  const copy = (Array.isArray(value) ? [...value] : { ...value }) as Record<
    string,
    unknown
  >;
  const keys = [...Object.keys(copy), "0", "unknown"];
  const key = keys[step % keys.length]!;
  if (rest.length === 0 && step % 3 === 0) delete copy[key];
  else copy[key] = replaceAt(copy[key], rest, other);
  // As on the wire, except that infinite numbers are kept.
  return Array.isArray(value) ? Object.values(copy) : copy;
}

describe("message check", () => {
  // Guards against a check that accepts what the schema rejects or changes.
  for (const [name, schema, text] of SCHEMAS) {
    it(`accepts and rejects the same as the schema: ${name}`, () => {
      const valid: unknown = JSON.parse(text);
      const read = createMessageReader(schema);
      // The check accepts the message itself; the schema would return a copy.
      expect(read(valid)).to.equal(valid);
      const paths = fc.array(fc.nat(60), { minLength: 1, maxLength: 5 });
      fc.assert(
        fc.property(paths, anything, (path, other) => {
          const message = replaceAt(valid, path, other);
          const expected = schema.safeParse(message);
          if (expected.success) {
            expect(read(message)).to.deep.equal(expected.data);
          } else expect(() => read(message)).to.throw(z.ZodError);
        }),
        { numRuns: 1_000 },
      );
    });
  }

  it("leaves kinds of schemas that it doesn't support to the schema", () => {
    for (
      const schema of [
        z.string().regex(/^a/),
        z.email(),
        z.object({ a: z.string() }).strict(),
        z.object({ a: z.number().refine((a) => a > 5) }),
        z.string().transform((a) => a.length),
        z.number().multipleOf(3),
        z.array(z.string()).length(2),
      ]
    ) {
      const read = createMessageReader(schema as z.ZodType<unknown>);
      for (const value of ["b", { a: "1", b: 2 }, { a: 1 }, 4, ["a"]]) {
        const { success, data } = schema.safeParse(value);
        if (success) expect(read(value)).to.deep.equal(data);
        else expect(() => read(value)).to.throw(z.ZodError);
      }
    }
  });
});
