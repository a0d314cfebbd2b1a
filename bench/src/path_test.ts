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

describe("end-to-end path", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  it("answers buffered and streamed requests with the expected output", async () => {
    site = await startLocalSite();
    const client = site.createClient();
    const buffered = await client.runPipeline(DRAFT);
    expectDraft(buffered.isOk && buffered.value.output);
    const streamed = await client.streamPipeline(DRAFT, () => {});
    expectDraft(streamed.isOk && streamed.value.tokens.join(""));
    const called = await client.callService(NOTICE);
    expect(called.isOk && called.value.body).to.deep.equal(
      deriveServiceAnswer("notice", JSON.stringify(NOTICE.body)),
    );
    await client.close();
  });

  // The entry crashes while it streams a ruling. The client resumes at another
  // entry with its token and must get every token in order, exactly once.
  it("resumes a stream at another entry when its entry crashes", async () => {
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

  // The connection between entry and engine is cut. The entry resumes at the
  // engine without the caller having to resume.
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

  // The engine crashes during a generation. The generation restarts at another
  // engine, and the client drops the tokens of the first one.
  it("restarts a generation when its engine crashes", async () => {
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

  // A notice is issued, but the answer is lost. The caller retries at the same
  // and at another entry. The notice must not be issued twice.
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

  it("retries an idempotent call at another endpoint", async () => {
    site = await startLocalSite();
    for (const { faults } of site.encoders) faults.wrongEchoes = 1;
    const client = site.createClient();
    const answer = await client.runPipeline(DRAFT);
    expectDraft(answer.isOk && answer.value.output);
    await client.close();
  });

  // One endpoint refuses connections, but the instance list still has it as live.
  it("avoids a dead endpoint, also for non-idempotent calls", async () => {
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

  // The caller of a draft has disconnected. Its engine must stop generating.
  it("cancels the work of a caller that disconnects", async () => {
    site = await startLocalSite({
      engineTimes: { ...SLOW_ENGINE, stepMs: 40 },
      timing: { lingerMs: 50 },
    });
    const http = createHttpClient();
    const disconnect = new AbortController();
    const request = http.call({
      ...createDraftCall(site, "/v1/pipelines/draft"),
      signal: disconnect.signal,
    });
    const countBusy = () =>
      site.engines.reduce((sum, engine) => sum + engine.countBusy(), 0);
    await waitUntil(site.clock, () => countBusy() === 1);
    disconnect.abort();
    await request;
    await waitUntil(site.clock, () => countBusy() === 0);
    await http.close();
  });

  // A request waits at a full engine until its deadline and is abandoned before
  // its first token. Without a cancel the engine would keep it for as long as a
  // resume is allowed, and generate unused tokens in a slot that others wait for.
  it("cancels a request at the engine that is abandoned before its first token", async () => {
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

  it("refuses a request that cannot meet its deadline without running it", async () => {
    site = await startLocalSite({
      stageTimes: { slots: 1, baseMs: 50, perThousandMs: 0 },
      encoders: 1,
    });
    const client = site.createClient();
    const request = { ...DRAFT, pipeline: "embed", deadlineMs: 400 };
    for (let i = 0; i < 3; i++) await client.runPipeline(request);
    const before = countExecutions(site, "encoders");
    const infeasible = await client.runPipeline({ ...request, deadlineMs: 20 });
    expect(infeasible.isErr && infeasible.error.verdict).to.equal("not_run");
    expect(countExecutions(site, "encoders")).to.equal(before);
    await client.close();
  });
});

describe("unavailable log", () => {
  let site: LocalSite;
  afterEach(() => site.stop());

  // The log is unavailable. Notices whose ids are bound to an entry are still
  // issued; a request whose id needs a claim is refused and does not run.
  it("refuses only requests that need a claim, with not_run", async () => {
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

  it("lets a starting entry get the configuration from a peer", async () => {
    site = await startLocalSite();
    site.log.faults.away = true;
    const late = await site.startEntry();
    await waitUntil(site.clock, () => late.status.isReady);
    expect(late.status.configVersion).to.equal(1);
  });

  // The record of the configuration expires in the log. An entry has republished
  // it before, so an entry that starts later without peers still finds it.
  it("keeps a configuration in the log beyond the retention period", async () => {
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

  it("reach every entry once, with the same version", async () => {
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
    { name: " while the log is unavailable", isLogAway: true },
  ];
  for (const { name, isLogAway } of STOPS) {
    it(`do not cut off requests in progress${name}`, async () => {
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

  // Callers cache the list of addresses for ten seconds. An entry of the list that
  // stops in the meantime must still serve them until the cache expires.
  it("serve callers that have cached the old address", async () => {
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

  // A draft that takes half a second was accepted 0.2 s before it was cut off,
  // and its caller could not tell whether it had run.
  it("refuse what they would cut off", async () => {
    site = await startLocalSite({
      engineTimes: SLOW_ENGINE,
      timing: { drainMs: 200, shutdownMs: 100 },
    });
    const http = createHttpClient();
    const call = async () => {
      const reply = await http.call(
        createDraftCall(site, "/v1/pipelines/draft"),
      );
      return reply.isOk ? reply.value.status : "cut off";
    };
    const before = [await call(), await call(), await call()];
    const stopped = site.entries[0]?.stop();
    expect({ before, after: await call(), cutOff: await stopped })
      .to.deep.equal({ before: [200, 200, 200], after: 503, cutOff: 0 });
    await http.close();
  });

  // An endpoint leaves, but the instance list shows it only much later. After the
  // first refusal no new request is sent there, and no request is lost.
  it("send no new requests to a leaving endpoint while the list lags", async () => {
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

  it("make engines load the configured models", async () => {
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

  it("wait while the weight store is unavailable", async () => {
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
