import { expect } from "chai";
import type { PromiseContext } from "./promises.ts";
import { listBroken } from "./promises.ts";
import type { SeenAnswer } from "./soak_callers.ts";
import { findFault } from "./soak_callers.ts";
import type { RunLog, SeenRun } from "./soak_endpoints.ts";
import { computeBody, STREAM_EVENTS } from "./soak_endpoints.ts";

const CALM: SeenAnswer = {
  id: "calm",
  kind: "plain",
  key: "key-1",
  sentAt: 90_000,
  entry: "entry-1",
  status: 200,
};

function createRun(change: Partial<SeenRun> = {}): SeenRun {
  return { endpoint: "e1", account: "one", path: "/", at: 10, ...change };
}

function check(
  answer: Partial<SeenAnswer>,
  runs: SeenRun[],
  context: Partial<PromiseContext> = {},
): string[] {
  const asked = { ...CALM, id: "asked", sentAt: 10, ...answer };
  const seen: RunLog = new Map([["asked", runs], ["calm", [createRun()]]]);
  return listBroken([asked, CALM], seen, {
    revokedAt: undefined,
    leftAt: new Map(),
    coldSpans: [],
    evacuations: [],
    calmFrom: 80_000,
    accounts: new Map([["key-1", "one"], ["revoked", "two"]]),
    ...context,
  });
}

describe("promises of the soak", () => {
  const BROKEN: {
    name: string;
    answer: Partial<SeenAnswer>;
    runs: SeenRun[];
    context?: Partial<PromiseContext>;
  }[] = [
    {
      name: "a request that may run once and ran twice",
      answer: { kind: "once" },
      runs: [createRun(), createRun()],
    },
    {
      name: "a refusal of what has run",
      answer: { kind: "once", status: 503 },
      runs: [createRun()],
    },
    { name: "a success without a run", answer: {}, runs: [] },
    {
      name: "a run in an evacuated place",
      answer: {},
      runs: [createRun({ at: 5_100 })],
      context: { evacuations: [{ endpoint: "e1", from: 50, until: 6_000 }] },
    },
    {
      name: "more at a cold endpoint than it bears",
      answer: {},
      runs: Array.from({ length: 15 }, () => createRun({ at: 2_500 })),
      context: { coldSpans: [{ endpoint: "e1", from: 50, until: 6_000 }] },
    },
    {
      name: "a success with another's body",
      answer: { fault: "a wrong body" },
      runs: [createRun()],
    },
    {
      name: "a run for another account",
      answer: {},
      runs: [createRun({ account: "two" })],
    },
    {
      name: "a run with a key that was taken away long ago",
      answer: { key: "revoked", sentAt: 20_000 },
      runs: [createRun({ account: "two" })],
      context: { revokedAt: 14_000 },
    },
    {
      name: "a run at an endpoint that has left",
      answer: {},
      runs: [createRun({ at: 9_000 })],
      context: { leftAt: new Map([["e1", 6_500]]) },
    },
    {
      name: "refusals after all faults have ended",
      answer: { sentAt: 90_000, status: 503 },
      runs: [],
    },
  ];
  for (const { name, answer, runs, context } of BROKEN) {
    it(`are broken by ${name}`, () => {
      expect(check(answer, runs, context)).to.have.length(1);
    });
  }

  const KEPT: { name: string; answer: Partial<SeenAnswer>; runs: SeenRun[] }[] =
    [
      { name: "a whole answer", answer: {}, runs: [createRun()] },
      {
        name: "an idempotent request that ran twice",
        answer: {},
        runs: [createRun(), createRun()],
      },
      { name: "a refusal", answer: { kind: "once", status: 503 }, runs: [] },
      {
        name: "a connection that ended after a run",
        answer: { kind: "once", status: 0 },
        runs: [createRun()],
      },
    ];
  for (const { name, answer, runs } of KEPT) {
    it(`are kept by ${name}`, () => {
      expect(check(answer, runs)).to.deep.equal([]);
    });
  }
});

describe("answers that look whole", () => {
  const proof = computeBody("a").slice(0, 16);
  const events = (count: number, id = "a") =>
    Array.from({ length: count }, (_, i) => `id: ${i + 1}\ndata: ${id}\n\n`)
      .join("");
  const CASES = [
    { kind: "plain", text: computeBody("a"), proof, fault: undefined },
    { kind: "plain", text: computeBody("a"), proof: "x", fault: "wrong proof" },
    { kind: "plain", text: computeBody("b"), proof, fault: "wrong body" },
    { kind: "draft", text: events(STREAM_EVENTS), proof, fault: undefined },
    { kind: "draft", text: events(2), proof, fault: "2 of 5" },
    { kind: "draft", text: events(5, "b"), proof, fault: "another" },
  ] as const;
  for (const { kind, text, proof, fault } of CASES) {
    it(`${kind}: ${fault ?? "good"}`, () => {
      const found = findFault({ id: "a", kind }, { text, proof });
      if (fault === undefined) expect(found).to.equal(undefined);
      else expect(found).to.contain(fault);
    });
  }
});
