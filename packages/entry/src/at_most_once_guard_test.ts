import type { ClaimOutcome } from "@mangoreach/coordination";
import {
  createClaimTable,
  createOutcomeTable,
  formatBinding,
  formatBoundId,
  parseRequestId,
} from "@mangoreach/coordination";
import type { OutcomeReply, StoredAnswer } from "@mangoreach/peers";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { GuardedRequest } from "./at_most_once_guard.ts";
import { createAtMostOnceGuard } from "./at_most_once_guard.ts";

const NOW = 1_800_000_000_000;
const ANSWER: StoredAnswer = {
  status: 200,
  contentType: "application/json",
  verdict: "ran",
  body: "{}",
};
const BINDING_MS = 300_000;

describe("at most once", () => {
  let clock: FakeClock;
  /** The owner's reply to a query; undefined if it is unreachable. */
  let ownerReply: OutcomeReply | undefined;
  let queried: string[];
  /** The log's decision about a claim. */
  let claimOutcome: ClaimOutcome;

  beforeEach(() => {
    clock = createFakeClock(NOW);
    ownerReply = undefined;
    queried = [];
    claimOutcome = { kind: "won" };
  });

  function createGuard(incarnation = "me") {
    const settings = {
      timing: { bindingMs: BINDING_MS, claimWindowMs: BINDING_MS },
    };
    const table = createClaimTable({ clock, window: BINDING_MS });
    const guard = createAtMostOnceGuard(
      { settings, clock, incarnation },
      {
        outcomes: createOutcomeTable({ clock, capacity: 10 }),
        claims: { table, claim: () => Promise.resolve(claimOutcome) },
        queryOwner: (owner) => {
          queried.push(owner);
          return Promise.resolve(ownerReply);
        },
      },
    );
    return { guard, table };
  }

  function createRequest(
    text: string,
    change: Partial<GuardedRequest> = {},
  ): GuardedRequest {
    const id = parseRequestId(text);
    if (id === undefined) throw new Error(`malformed id ${text}`);
    return {
      account: "handlers",
      id,
      isFirstAttempt: true,
      signal: new AbortController().signal,
      remaining: 1_000,
      ...change,
    };
  }

  const bound = (owner: string, lifetime = 1_000) =>
    formatBoundId(formatBinding(owner, NOW + lifetime), "n1");

  function dated(age = 0): string {
    const time = Math.floor(NOW - age).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-0123456789ab`;
  }

  it("runs a request that is bound to this entry once, without the log", async () => {
    const { guard } = createGuard();
    claimOutcome = { kind: "unknown" };
    const first = await guard.begin(createRequest(bound("me")));
    expect(first.isOk && first.value.kind).to.equal("run");
    if (first.isOk && first.value.kind === "run") {
      first.value.run.finish(ANSWER);
    }
    const second = await guard.begin(createRequest(bound("me")));
    expect(second.isOk && second.value).to.deep.equal({
      kind: "answered",
      answer: ANSWER,
    });
  });

  const OWNER_CASES = [
    {
      // The owner freezes after it dispatched the request, and the caller retries
      // at another entry. Only the owner may run the request and it is
      // unreachable, so no entry runs it again.
      name: "the owner is frozen, partitioned or has crashed",
      reply: undefined,
      expected: { kind: "outcome_unknown", verdict: "may_have_run" },
    },
    {
      // The owner never received the request and is forbidden from running it.
      name: "the owner never received it",
      reply: { kind: "forbidden" },
      expected: { kind: "duplicate", verdict: "not_run" },
    },
    {
      name: "the owner still runs it",
      reply: { kind: "unknown" },
      expected: { kind: "outcome_unknown", verdict: "may_have_run" },
    },
  ] as const;

  for (const { name, reply, expected } of OWNER_CASES) {
    it(`never runs what is bound elsewhere: ${name}`, async () => {
      ownerReply = reply;
      const { guard } = createGuard();
      const result = await guard.begin(createRequest(bound("other")));
      expect(result.isErr && result.error).to.include(expected);
      expect(queried).to.deep.equal(["other"]);
    });
  }

  it("forwards the owner's answer to a caller that retries here", async () => {
    ownerReply = { kind: "answered", answer: ANSWER };
    const { guard } = createGuard();
    const result = await guard.begin(createRequest(bound("other")));
    expect(result.isOk && result.value.kind).to.equal("answered");
  });

  // The entry restarts under the same name and address but without its state. The
  // id names the old incarnation, so it does not run.
  it("does not run what was bound to an earlier incarnation of itself", async () => {
    const { guard } = createGuard("me-2");
    const result = await guard.begin(createRequest(bound("me-1")));
    expect(result.isErr && result.error.verdict).to.equal("may_have_run");
  });

  // The caller retries after the record of the first run has expired.
  it("does not run an expired id whose record may be gone", async () => {
    const { guard } = createGuard();
    const first = await guard.begin(createRequest(bound("me")));
    if (first.isOk && first.value.kind === "run") {
      first.value.run.finish(ANSWER);
    }
    await clock.advance(1_001);
    const late = await guard.begin(createRequest(bound("me")));
    expect(late.isErr && late.error).to.include({
      kind: "outcome_unknown",
      verdict: "may_have_run",
    });
  });

  it("refuses a binding whose record would have to be stored too long", async () => {
    const { guard } = createGuard();
    const result = await guard.begin(createRequest(bound("me", 86_400_000)));
    expect(result.isErr && result.error.kind).to.equal("malformed");
  });

  it("refuses a plain id, which has no owner and no claim", async () => {
    const { guard } = createGuard();
    const result = await guard.begin(createRequest("mine"));
    expect(result.isErr && result.error).to.include({
      kind: "malformed",
      verdict: "not_run",
    });
  });

  it("runs a dated id only after its claim won", async () => {
    const { guard } = createGuard();
    const result = await guard.begin(createRequest(dated()));
    expect(result.isOk && result.value.kind).to.equal("run");
  });

  const CLAIM_CASES = [
    {
      name: "another entry claimed it first and is unreachable",
      outcome: { kind: "lost", holder: "other" },
      isFirstAttempt: true,
      expected: { kind: "outcome_unknown", verdict: "may_have_run" },
    },
    {
      name: "the log is unavailable at the first attempt",
      outcome: { kind: "unknown" },
      isFirstAttempt: true,
      expected: { kind: "unavailable", verdict: "not_run" },
    },
    {
      // The first attempt went to another entry, which may have claimed the id
      // before the log became unavailable.
      name: "the log is unavailable at a later attempt",
      outcome: { kind: "unknown" },
      isFirstAttempt: false,
      expected: { kind: "unavailable", verdict: "may_have_run" },
    },
  ] as const;

  for (const { name, outcome, isFirstAttempt, expected } of CLAIM_CASES) {
    it(`does not run a dated id when ${name}`, async () => {
      claimOutcome = outcome;
      const { guard } = createGuard();
      const result = await guard.begin(
        createRequest(dated(), { isFirstAttempt }),
      );
      expect(result.isErr && result.error).to.include(expected);
    });
  }

  // The claim timed out and the request was refused as `not_run`, but the claim
  // appears in the log later. The caller retries at this entry, which dispatched
  // nothing and may run the request now.
  it("runs a dated id whose earlier claim here was abandoned before dispatch", async () => {
    claimOutcome = { kind: "unknown" };
    const { guard, table } = createGuard();
    await guard.begin(createRequest(dated()));
    table.apply({
      account: "handlers",
      id: dated(),
      claimId: "late",
      incarnation: "me",
      issuedAt: NOW,
    });
    const again = await guard.begin(
      createRequest(dated(), { isFirstAttempt: false }),
    );
    expect(again.isOk && again.value.kind).to.equal("run");
  });

  it("queries the holder of a claim that was read before", async () => {
    ownerReply = { kind: "answered", answer: ANSWER };
    const { guard, table } = createGuard();
    table.apply({
      account: "handlers",
      id: dated(),
      claimId: "c",
      incarnation: "other",
      issuedAt: NOW,
    });
    const result = await guard.begin(createRequest(dated()));
    expect(result.isOk && result.value.kind).to.equal("answered");
    expect(queried).to.deep.equal(["other"]);
  });

  it("does not run a dated id older than the claims that are kept", async () => {
    const { guard } = createGuard();
    const result = await guard.begin(createRequest(dated(BINDING_MS + 1)));
    expect(result.isErr && result.error.verdict).to.equal("may_have_run");
  });

  // A peer queries an id that this entry has not seen and reports `not_run` to its
  // caller. The caller's original request arrives here afterwards.
  it("keeps its promise to a peer when the request arrives late", async () => {
    const { guard } = createGuard();
    const promised = await guard.answer({
      account: "handlers",
      id: bound("me"),
      keepUntil: NOW + 1_000,
      waitMs: 0,
    });
    expect(promised.kind).to.equal("forbidden");
    const late = await guard.begin(createRequest(bound("me")));
    expect(late.isErr && late.error).to.include({
      kind: "duplicate",
      verdict: "not_run",
    });
  });

  it("makes no promise about an id whose records may have expired", async () => {
    const { guard } = createGuard();
    const reply = await guard.answer({
      account: "handlers",
      id: bound("me"),
      keepUntil: NOW - 1,
      waitMs: 0,
    });
    expect(reply.kind).to.equal("unknown");
  });

  it("does not reveal a request to another account", async () => {
    const { guard } = createGuard();
    const first = await guard.begin(createRequest(bound("me")));
    if (first.isOk && first.value.kind === "run") {
      first.value.run.finish(ANSWER);
    }
    const other = await guard.begin(
      createRequest(bound("me"), { account: "portal" }),
    );
    expect(other.isOk && other.value.kind).to.equal("run");
  });
});
