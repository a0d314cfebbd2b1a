import { expect } from "chai";
import type * as z from "zod";
import { pieceRunReplySchema } from "./piece_protocol.ts";
import { runReportReplySchema } from "./run_protocol.ts";
import { topicRepliesSchema } from "./topic_protocol.ts";

const COUNT = 200_000;
const MAX_ISSUES = 10;
const WAITS = { onTime: 1, late: 2, growth: 0 };
const POSITION = { era: 0, offset: 0 };

const REPLIES: Readonly<
  Record<string, [z.ZodType, (many: readonly unknown[]) => unknown]>
> = {
  topics: [topicRepliesSchema, (many) => many],
  "records of a topic": [topicRepliesSchema, (records) => [
    { kind: "records", records, next: POSITION, age: 0 },
  ]],
  "outcomes of pieces": [pieceRunReplySchema, (outcomes) => ({
    outcomes,
    waits: WAITS,
    freedInputs: true,
  })],
  "crashes of endpoints": [pieceRunReplySchema, (ends) => ({
    outcomes: [],
    waits: WAITS,
    freedInputs: true,
    ends,
  })],
  "quarantined contents": [runReportReplySchema, (quarantined) => ({
    quarantined,
  })],
};

/**
 * Guards against replies of a megabyte for which the schema describes a fault of
 * each element: they would take as much memory as the process has.
 */
describe("the schemas of replies", () => {
  for (const [name, [schema, create]] of Object.entries(REPLIES)) {
    it(`describe one fault of too many ${name}`, () => {
      const reply = create(Array.from({ length: COUNT }, () => 1));
      const { error } = schema.safeParse(reply);
      expect(error?.issues.length).to.be.within(1, MAX_ISSUES);
      expect(schema.safeParse(create([])).success).to.equal(true);
    });
  }
});
