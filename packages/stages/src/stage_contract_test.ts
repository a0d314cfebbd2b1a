import process from "node:process";
import { hasLeavingMark } from "@mangoreach/endpoints";
import type { EndpointInfo } from "@mangoreach/coordination";
import { createSystemClock } from "@mangoreach/shared";
import type { EndpointStandin } from "@mangoreach/standins";
import {
  BAD_REPLIES,
  deriveStageOutput,
  startScriptedServer,
  startStageEndpoint,
} from "@mangoreach/standins";
import { expect } from "chai";
import type { StageCall, StageClient } from "./stage_client.ts";
import { createStageClient } from "./stage_client.ts";

const EXTERNAL = process.env.MANGOREACH_STAGE_URL;
const INPUT = { text: "a bill", previous: null };

describe("stage endpoint contract", () => {
  const clock = createSystemClock();
  let standin: EndpointStandin;
  let stages: StageClient;
  let leaving: string[];
  let dropped: number;

  beforeEach(async () => {
    leaving = [];
    dropped = 0;
    standin = await startStageEndpoint({
      clock,
      times: { slots: 2, baseMs: 1, perThousandMs: 0 },
    });
    stages = createStageClient({
      clock,
      onAnswer: ({ endpoint, headers }) => {
        if (hasLeavingMark(headers)) leaving.push(endpoint.id);
      },
      onDropped: () => dropped++,
    });
  });

  afterEach(async () => {
    await stages.close();
    await standin.stop();
  });

  function createCall(address = EXTERNAL ?? standin.address): StageCall {
    const endpoint: EndpointInfo = {
      id: "encoder-1",
      incarnation: "1",
      pool: "encoder",
      place: "odda",
      address,
      state: "live",
    };
    return {
      endpoint,
      requestId: "handlers/r1",
      stage: "encode",
      attempt: 1,
      input: INPUT,
      causalTime: "1.0",
      signal: AbortSignal.timeout(400),
    };
  }

  it("returns the result of the call", async () => {
    const reply = await stages.call(createCall());
    expect(reply.isOk && reply.value.output)
      .to.deep.equal(deriveStageOutput("encode", INPUT));
  });

  // Guards against results of other calls, such as a handler's draft that shows
  // passages of another case. An endpoint answers one call with the result of
  // another; its echo does not match, so it is dropped.
  it("drops and counts a result that belongs to another call", async () => {
    standin.faults.wrongEchoes = 1;
    const reply = await stages.call(createCall());
    expect(reply.isErr && reply.error.kind).to.equal("bad_reply");
    expect(dropped).to.equal(1);
  });

  it("trusts a refusal of a leaving endpoint and reports its mark", async () => {
    standin.leave();
    const reply = await stages.call(createCall());
    expect(reply.isErr && reply.error).to.include({
      kind: "stopping",
      verdict: "not_run",
    });
    expect(leaving).to.deep.equal(["encoder-1"]);
  });

  const FAULTS = [
    {
      name: "a lost answer",
      faults: { loseAnswers: 1 },
      verdict: "may_have_run",
    },
    {
      name: "a truncated answer",
      faults: { cutAnswers: 1 },
      verdict: "may_have_run",
    },
    {
      name: "a malformed answer",
      faults: { malformed: 1 },
      verdict: "may_have_run",
    },
    { name: "a failure", faults: { failures: 1 }, verdict: "may_have_run" },
    {
      name: "an endpoint that hangs",
      faults: { hangs: true },
      verdict: "may_have_run",
    },
    {
      name: "an unexplained 503",
      faults: { away: true },
      verdict: "may_have_run",
    },
  ] as const;

  for (const { name, faults, verdict } of FAULTS) {
    it(`reports ${verdict} for ${name}`, async () => {
      Object.assign(standin.faults, faults);
      const reply = await stages.call(createCall());
      expect(reply.isErr && reply.error.verdict).to.equal(verdict);
    });
  }

  it("reports not_run only if nothing was sent: a refused connection", async () => {
    const call = createCall();
    await standin.stop();
    const reply = await stages.call(call);
    expect(reply.isErr && reply.error.verdict).to.equal("not_run");
    standin = await startStageEndpoint({
      clock,
      times: { slots: 2, baseMs: 1, perThousandMs: 0 },
    });
  });

  for (const { name, reply } of BAD_REPLIES) {
    it(`turns ${name} into may_have_run`, async () => {
      const server = await startScriptedServer(reply);
      const result = await stages.call(createCall(server.address));
      expect(result.isErr && result.error.verdict).to.equal("may_have_run");
      await server.stop();
    });
  }
});
