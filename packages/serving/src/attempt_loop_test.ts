import type { EndpointInfo, Route } from "@mangoreach/coordination";
import {
  createDeadline,
  createEndpointDirectory,
  createRetryBudget,
} from "@mangoreach/coordination";
import type { HttpFault } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { runAttempts } from "./attempt_loop.ts";
import type { EndpointAnswer } from "./platform_interfaces.ts";
import {
  createRecordedResponse,
  createTestEndpoint,
  createTestHead,
  createTestReply,
  createTestRoute,
  createTestState,
  createTestTable,
} from "./test_support.ts";

type Step = EndpointAnswer | "no" | "maybe";

async function run(
  steps: (() => Step)[],
  { route = {}, budget = 10, ids = ["e1", "e2", "e3"], isRestarting = false }: {
    route?: Partial<Route>;
    budget?: number;
    ids?: readonly string[];
    /** Whether each endpoint restarts under its id during the attempt. */
    isRestarting?: boolean;
  } = {},
) {
  const clock = createFakeClock(0);
  const called: EndpointInfo[] = [];
  const directory = createEndpointDirectory({ clock, markTtl: 1_000 });
  directory.replaceAll(ids.map((id) => createTestEndpoint(id)));
  const testRoute = createTestRoute(route);
  const table = createTestTable([testRoute]);
  const { response, seen } = createRecordedResponse();
  const recorded: boolean[] = [];
  const state = createTestState(clock, {
    readTable: () => table,
    directory,
    callEndpoint: ({ endpoint }) => {
      const step = steps[called.length]?.() ?? "no";
      called.push(endpoint);
      if (isRestarting) {
        directory.replaceAll(
          ids.map((id) =>
            createTestEndpoint(id, { incarnation: String(called.length + 1) })
          ),
        );
      }
      return Promise.resolve<Result<EndpointAnswer, HttpFault>>(
        typeof step === "string"
          ? Result.err({ kind: "cut", sent: step, message: step })
          : Result.ok(step),
      );
    },
    findBudget: () => createRetryBudget({ share: 0, max: budget }),
    findCompletion: () => ({
      record: ({ isWhole }) => recorded.push(isWhole),
      estimate: () => undefined,
    }),
  });
  const outcome = await runAttempts(state, {
    request: { head: createTestHead(), body: Buffer.alloc(0) },
    response,
    admittedAt: 0,
    admitted: {
      route: testRoute,
      table,
      pool: "pool",
      account: undefined,
      priority: 1,
      rank: 17,
    },
    deadline: createDeadline({ clock, budget: 4_000 }),
    results: undefined,
  });
  return { outcome, seen, recorded, called: called.map(({ id }) => id) };
}

const COMPLETE = () => createTestReply(["whole"]);
const FULL = (): Step => ({ kind: "not_run", reason: "full", load: undefined });
const OTHER = (): Step => ({
  kind: "not_run",
  reason: "other_instance",
  load: undefined,
});
const INVALID = (): Step => ({ kind: "invalid", reason: "no proof" });
const FAILED = () => createTestReply(["oops"], { status: 500 });
const CUT = () => createTestReply(["half"], { isBroken: true });
const MAYBE = (): Step => "maybe";
const UNSENT = (): Step => "no";

describe("attempts", () => {
  // What the caller receives and how many endpoints are called, by the kind of
  // route and by how the first endpoints answer. A request that may have run is
  // retried only where the route permits it, and is never reported as not run.
  const CASES = [
    { kind: "idempotent", steps: [COMPLETE], seen: ["200 whole"] },
    { kind: "idempotent", steps: [MAYBE, COMPLETE], seen: ["200 whole"] },
    { kind: "idempotent", steps: [CUT, COMPLETE], seen: ["200 whole"] },
    { kind: "idempotent", steps: [INVALID, COMPLETE], seen: ["200 whole"] },
    { kind: "idempotent", steps: [FAILED, COMPLETE], seen: ["200 whole"] },
    { kind: "idempotent", steps: [FAILED, FAILED], seen: ["500 oops"] },
    { kind: "idempotent", steps: [MAYBE, MAYBE], verdict: "may_have_run" },
    { kind: "idempotent", steps: [FULL, FULL, COMPLETE], seen: ["200 whole"] },
    { kind: "idempotent", steps: [FULL, FULL, FULL], verdict: "not_run" },
    { kind: "idempotent", steps: [FULL, MAYBE, COMPLETE], seen: ["200 whole"] },
    { kind: "non_idempotent", steps: [COMPLETE], seen: ["200 whole"] },
    { kind: "non_idempotent", steps: [FULL, COMPLETE], seen: ["200 whole"] },
    { kind: "non_idempotent", steps: [OTHER, COMPLETE], seen: ["200 whole"] },
    { kind: "non_idempotent", steps: [UNSENT, COMPLETE], seen: ["200 whole"] },
    { kind: "non_idempotent", steps: [FAILED], seen: ["500 oops"] },
    { kind: "non_idempotent", steps: [MAYBE], verdict: "may_have_run" },
    { kind: "non_idempotent", steps: [CUT], verdict: "may_have_run" },
    { kind: "non_idempotent", steps: [INVALID], verdict: "may_have_run" },
    { kind: "non_idempotent", steps: [FULL, MAYBE], verdict: "may_have_run" },
    { kind: "stream", steps: [MAYBE], verdict: "may_have_run" },
    {
      kind: "stream",
      steps: [COMPLETE],
      seen: ["stream 200", "whole", "complete"],
    },
    { kind: "stream", steps: [CUT], seen: ["stream 200", "half", "cut"] },
    { kind: "stream", steps: [FAILED], seen: ["500 oops"] },
  ] as const;
  for (const { kind, steps, ...expected } of CASES) {
    const names = steps.map((step) => step.name.toLowerCase()).join(", ");
    it(`${kind} after ${names}`, async () => {
      const { seen, outcome, called } = await run([...steps], {
        route: { kind },
      });
      expect(called.length).to.equal(steps.length);
      expect(new Set(called).size).to.equal(called.length);
      if ("verdict" in expected) {
        expect(outcome.failure?.verdict).to.equal(expected.verdict);
        expect(seen).to.deep.equal([]);
      } else expect(seen).to.deep.equal(expected.seen);
    });
  }

  // A restarted entry, which has no budget yet, may know endpoints that ended.
  it("needs no retry budget until a request has reached an endpoint", async () => {
    const seen: string[][] = [];
    for (
      const steps of [[UNSENT, UNSENT, COMPLETE], [UNSENT, FULL, COMPLETE]]
    ) {
      seen.push((await run(steps, { budget: 0 })).seen);
    }
    expect(seen).to.deep.equal([["200 whole"], []]);
  });

  // When several endpoints fail together, a second attempt for every caller
  // would double the load on the remaining ones.
  it("makes no retry without retry budget", async () => {
    const { called, outcome } = await run([FULL, COMPLETE], { budget: 0 });
    expect(called.length).to.equal(1);
    expect(outcome.failure?.verdict).to.equal("not_run");
    expect(outcome.failure?.retryAfterMs).to.be.greaterThan(0);
  });

  // An endpoint that ended during a request and is back under its id may have
  // run it before; and the request may be what ended it.
  for (
    const { kind, sent } of [
      { kind: "non_idempotent", sent: ["e1"] },
      { kind: "idempotent", sent: ["e1", "e2"] },
    ] as const
  ) {
    it(`does not return to a restarted endpoint: ${kind}`, async () => {
      const { called, outcome } = await run([MAYBE, MAYBE, COMPLETE], {
        route: { kind, maxAttempts: 3 },
        ids: sent,
        isRestarting: true,
      });
      expect(called).to.deep.equal(sent);
      expect(outcome.failure?.verdict).to.equal("may_have_run");
    });
  }

  // An endpoint gives errors sooner than answers: counted, they would make the
  // answers of a stopping entry look shorter than they are.
  it("records how long answers take, but not errors and refusals", async () => {
    const denied = () => createTestReply(["no"], { status: 404 });
    const outcomes = await Promise.all(
      [[COMPLETE], [CUT], [FAILED], [denied], [FULL, COMPLETE], [UNSENT]]
        .map((steps) => run(steps, { route: { kind: "stream" } })),
    );
    expect(outcomes.map(({ recorded }) => recorded))
      .to.deep.equal([[true], [false], [], [], [true], []]);
  });

  it("runs a request on as many endpoints as its route allows", async () => {
    const { called } = await run([MAYBE, MAYBE, COMPLETE], {
      route: { maxAttempts: 1 },
    });
    expect(called.length).to.equal(1);
  });
});
