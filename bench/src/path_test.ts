import type { PipelineRequest } from "@mangoreach/callers";
import { CALLER_PATHS } from "@mangoreach/callers";
import { createHttpClient } from "@mangoreach/shared";
import {
  derivePipelineOutput,
  deriveServiceAnswer,
} from "@mangoreach/standins";
import { expect } from "chai";
import { createDraftCall, DRAFT_TEXT } from "./draft_call.ts";
import type { LocalSite } from "./local_site.ts";
import { LOCAL_CONFIG, startLocalSite, waitUntil } from "./local_site.ts";

const TEXT = DRAFT_TEXT;
const DRAFT: PipelineRequest = {
  pipeline: "draft",
  className: "rulings",
  deadlineMs: 5_000,
  idempotent: true,
  body: { text: TEXT },
};
const NOTICE = {
  service: "billing",
  path: "notice",
  className: "rulings",
  deadlineMs: 1_500,
  idempotent: false,
  body: { case: 7 },
};
const SLOW_ENGINE = {
  slots: 8,
  stepMs: 10,
  perSequenceMs: 0,
  tokensPerStep: 1,
  prefillPerThousandMs: 0,
};

function expectDraft(output: unknown): void {
  const stages = LOCAL_CONFIG.pipelines[0]!.stages;
  expect(output).to.equal(derivePipelineOutput(stages, TEXT));
}

function countExecutions(site: LocalSite, pool: "services" | "encoders") {
  return site[pool].flatMap(({ ledger }) => ledger).length;
}

describe("the whole path", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  it("answers whole and streamed requests with what they must get", async () => {
    site = await startLocalSite();
    const client = site.createClient();
    const whole = await client.runPipeline(DRAFT);
    expectDraft(whole.isOk && whole.value.output);
    const streamed = await client.streamPipeline(DRAFT, () => {});
    expectDraft(streamed.isOk && streamed.value.tokens.join(""));
    const called = await client.callService(NOTICE);
    expect(called.isOk && called.value.body).to.deep.equal(
      deriveServiceAnswer("notice", JSON.stringify(NOTICE.body)),
    );
    await client.close();
  });

  // A ruling is being streamed when its entry dies. The client resumes at
  // another entry with its token, and the text is whole, in order, once.
  it("resumes a stream at another entry when its entry dies", async () => {
    site = await startLocalSite({ entries: 2, engineTimes: SLOW_ENGINE });
    const client = site.createClient();
    const sequences: number[] = [];
    const answer = await client.streamPipeline(DRAFT, (_token, sequence) => {
      sequences.push(sequence);
      if (sequence === 3) {
        site.entries.find(({ status }) => status.inProgress > 0)?.kill();
      }
    });
    expectDraft(answer.isOk && answer.value.tokens.join(""));
    expect(answer.isOk && answer.value.resumes).to.be.at.least(1);
    expect(sequences).to.deep.equal(sequences.map((_, i) => i));
    await client.close();
  });

  // The connection between entry and engine breaks. The entry resumes at the
  // engine; the caller sees nothing of it.
  it("hides a cut connection to the engine from the caller", async () => {
    site = await startLocalSite({ engines: 1, engineTimes: SLOW_ENGINE });
    const client = site.createClient();
    const answer = await client.streamPipeline(DRAFT, (_token, sequence) => {
      if (sequence === 3) site.engines[0]?.cutStreams();
    });
    expectDraft(answer.isOk && answer.value.tokens.join(""));
    expect(answer.isOk && answer.value.resumes).to.equal(0);
    await client.close();
  });

  // The engine itself dies in the middle. The generation begins again at
  // another engine, and the client drops the tokens of the lost one.
  it("begins a generation again when its engine dies", async () => {
    site = await startLocalSite({ engines: 2, engineTimes: SLOW_ENGINE });
    const client = site.createClient();
    let isStopped = false;
    const answer = await client.streamPipeline(DRAFT, (_token, sequence) => {
      if (sequence !== 3 || isStopped) return;
      isStopped = true;
      void site.engines.find((engine) => engine.countBusy() > 0)?.stop();
    });
    expectDraft(answer.isOk && answer.value.tokens.join(""));
    await client.close();
  });

  // A notice is issued and the answer is lost. The caller asks again, at the
  // same and at another entry. The notice must not go out twice.
  it("does not repeat a service call whose answer was lost", async () => {
    site = await startLocalSite({ entries: 2 });
    for (const { faults } of site.services) faults.loseAnswers = 1;
    const client = site.createClient();
    const id = await client.createRequestId();
    const call = { ...NOTICE, ...(id === undefined ? {} : { id }) };
    const first = await client.callService(call);
    const second = await client.callService(call);
    expect(first.isErr && first.error.verdict).to.equal("may_have_run");
    expect(second.isErr && second.error.verdict).to.equal("may_have_run");
    expect(countExecutions(site, "services")).to.equal(1);
    await client.close();
  });

  it("repeats an idempotent call at another endpoint", async () => {
    site = await startLocalSite();
    for (const { faults } of site.encoders) faults.wrongEchoes = 1;
    const client = site.createClient();
    const answer = await client.runPipeline(DRAFT);
    expectDraft(answer.isOk && answer.value.output);
    await client.close();
  });

  // One endpoint refuses connections; the instance list still calls it live.
  it("goes around a dead endpoint, also for calls that may not be repeated", async () => {
    site = await startLocalSite();
    await site.services[0]?.stop();
    const client = site.createClient();
    for (let i = 0; i < 6; i++) {
      const answer = await client.callService(NOTICE);
      expect(answer.isOk, JSON.stringify(answer)).to.equal(true);
    }
    expect(countExecutions(site, "services")).to.equal(6);
    await client.close();
  });

  // Nobody waits for a draft any more. Its engine must not go on generating.
  it("stops the work of a caller that goes away", async () => {
    site = await startLocalSite({
      engineTimes: { ...SLOW_ENGINE, stepMs: 40 },
      timing: { lingerMs: 50 },
    });
    const http = createHttpClient();
    const leaving = new AbortController();
    const request = http.call({
      ...createDraftCall(site, "/v1/pipelines/draft"),
      signal: leaving.signal,
    });
    const countBusy = () =>
      site.engines.reduce((sum, engine) => sum + engine.countBusy(), 0);
    await waitUntil(site.clock, () => countBusy() === 1);
    leaving.abort();
    await request;
    await waitUntil(site.clock, () => countBusy() === 0);
    await http.close();
  });

  // Chat waits at a full engine until its deadline and is given up before its
  // first token. The engine would go on for as long as a resume is allowed, and
  // generate for nobody in a slot that rulings wait for.
  it("cancels at the engine what was given up before its first token", async () => {
    site = await startLocalSite({
      engines: 1,
      engineTimes: { ...SLOW_ENGINE, slots: 1, stepMs: 60 },
      timing: { lingerMs: 60_000 },
    });
    const client = site.createClient();
    const [engine] = site.engines;
    let isFirstDone = false;
    const first = client.streamPipeline(DRAFT, () => {})
      .then(() => isFirstDone = true);
    await waitUntil(site.clock, () => engine?.countBusy() === 1);
    const late = await client.streamPipeline(
      { ...DRAFT, deadlineMs: 400 },
      () => {},
    );
    expect(late.isErr).to.equal(true);
    await waitUntil(site.clock, () => engine?.countBusy() === 1);
    expect(isFirstDone).to.equal(false);
    await first;
    await client.close();
  });

  it("refuses what cannot be in time, and runs nothing of it", async () => {
    site = await startLocalSite({
      stageTimes: { slots: 1, baseMs: 50, perThousandMs: 0 },
      encoders: 1,
    });
    const client = site.createClient();
    const request = { ...DRAFT, pipeline: "embed", deadlineMs: 400 };
    for (let i = 0; i < 3; i++) await client.runPipeline(request);
    const before = countExecutions(site, "encoders");
    const hopeless = await client.runPipeline({ ...request, deadlineMs: 20 });
    expect(hopeless.isErr && hopeless.error.verdict).to.equal("not_run");
    expect(countExecutions(site, "encoders")).to.equal(before);
    await client.close();
  });
});

describe("a log that is away", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  // The log is away for an hour. Notices whose ids are bound to an entry go out
  // all the same; an id that needs a claim is refused and does not run.
  it("stops only requests that need a claim, and says not_run", async () => {
    site = await startLocalSite();
    site.log.faults.away = true;
    const client = site.createClient();
    const bound = await client.callService(NOTICE);
    expect(bound.isOk).to.equal(true);
    const now = Math.floor(site.clock.now()).toString(16).padStart(12, "0");
    const dated = await client.callService({
      ...NOTICE,
      id: `${now.slice(0, 8)}-${now.slice(8)}-7abc-8def-0123456789ab`,
    });
    expect(dated.isErr && dated.error.verdict).to.equal("not_run");
    expect(countExecutions(site, "services")).to.equal(1);
    await client.close();
  });

  it("lets an entry that starts meanwhile get the configuration from a peer", async () => {
    site = await startLocalSite();
    site.log.faults.away = true;
    const late = await site.startEntry();
    await waitUntil(site.clock, () => late.status.isReady);
    expect(late.status.configVersion).to.equal(1);
  });

  // The record of the configuration expires in the log. An entry carried it
  // forward before, so an entry that starts alone later still finds it.
  it("leaves a configuration in the log longer than the log keeps records", async () => {
    site = await startLocalSite({
      retentionMs: 600,
      timing: { carryForwardMs: 150 },
    });
    await site.clock.sleep(1_500);
    const [first] = site.entries;
    first?.kill();
    const late = await site.startEntry({ peers: [] });
    await waitUntil(site.clock, () => late.status.isReady);
    expect(late.status.configVersion).to.equal(1);
  });
});

describe("configuration changes", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  it("reach every entry, once, in the same version", async () => {
    site = await startLocalSite({ entries: 3 });
    site.log.faults.loseAnswers = 1;
    const next = structuredClone(LOCAL_CONFIG);
    next.classes[0]!.target = 0.5;
    const [a, b] = await Promise.all([
      site.publish(next, 1),
      site.publish(LOCAL_CONFIG, 1),
    ]);
    expect([a.kind, b.kind].sort()).to.deep.equal(["conflict", "in_force"]);
    await waitUntil(
      site.clock,
      () => site.entries.every(({ status }) => status.configVersion === 2),
    );
  });
});

describe("planned stops", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  const STOPS = [
    { name: "", isLogAway: false },
    { name: " while the log is away", isLogAway: true },
  ];
  for (const { name, isLogAway } of STOPS) {
    it(`cut nothing off that an entry has in progress${name}`, async () => {
      site = await startLocalSite({ engineTimes: SLOW_ENGINE });
      site.log.faults.away = isLogAway;
      const client = site.createClient();
      const [entry] = site.entries;
      let stopped: Promise<number> | undefined;
      const answer = await client.streamPipeline(DRAFT, (_token, sequence) => {
        if (sequence === 2) stopped = entry?.stop();
      });
      expectDraft(answer.isOk && answer.value.tokens.join(""));
      expect(answer.isOk && answer.value.resumes).to.equal(0);
      expect(await stopped).to.equal(0);
      await client.close();
    });
  }

  // A caller keeps an address answer for ten seconds. The entry it names leaves
  // meanwhile, and still serves the caller until that time has passed.
  it("serve callers that still keep the old address", async () => {
    site = await startLocalSite({ entries: 2, timing: { drainMs: 3_000 } });
    const [entry] = site.entries;
    const stopping = entry?.stop();
    const http = createHttpClient();
    const reply = await http.call(createDraftCall(site, "/v1/pipelines/draft"));
    expect(reply.isOk && reply.value.status).to.equal(200);
    const addresses = await http.call({
      ...createDraftCall(site, CALLER_PATHS.addresses, site.entries[1]),
      method: "GET",
    });
    await waitUntil(
      site.clock,
      () => site.entries[1]!.status.peers.length === 1,
    );
    expect(addresses.isOk && addresses.value.text).not.to.contain("entry-1-");
    entry?.kill();
    await stopping;
    await http.close();
  });

  // An endpoint leaves; the instance list says so only much later. After the
  // first refusal nothing new is sent there, and nothing is lost.
  it("send a leaving endpoint nothing new although the list lags", async () => {
    site = await startLocalSite({ listLagMs: 0 });
    const client = site.createClient();
    site.services[0]?.leave();
    for (let i = 0; i < 8; i++) {
      expect((await client.callService(NOTICE)).isOk).to.equal(true);
    }
    expect(site.services[0]?.ledger.length).to.equal(0);
    await client.close();
  });
});

describe("engine orders", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  it("make engines hold what the configuration asks for", async () => {
    site = await startLocalSite({
      entries: 2,
      models: [],
      timing: { leaseMs: 500 },
    });
    await waitUntil(
      site.clock,
      () => site.engines.every(({ orders }) => orders.length > 0),
    );
    const fences = site.engines.flatMap(({ orders }) =>
      orders.map(({ fence }) => fence)
    );
    expect(new Set(fences).size).to.equal(1);
    const client = site.createClient();
    let answer = await client.runPipeline(DRAFT);
    while (answer.isErr) answer = await client.runPipeline(DRAFT);
    expectDraft(answer.value.output);
    await client.close();
  });

  it("wait while the weight store is away", async () => {
    site = await startLocalSite({ models: [], timing: { leaseMs: 500 } });
    site.weightStore.faults.away = true;
    await site.clock.sleep(1_000);
    expect(site.engines.flatMap(({ orders }) => orders)).to.deep.equal([]);
    site.weightStore.faults.away = false;
    await waitUntil(
      site.clock,
      () => site.engines.every(({ orders }) => orders.length > 0),
    );
  });
});
