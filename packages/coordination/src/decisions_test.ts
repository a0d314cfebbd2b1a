import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createAdmission, spreadRetryAfter } from "./admission.ts";
import { createAttainmentTracker } from "./attainment.ts";
import type { AdmittedEnd } from "./class_limit.ts";
import { createClassLimit } from "./class_limit.ts";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import type { EndpointInfo } from "./endpoint.ts";
import { createEndpointHealth, ejectSlowest } from "./endpoint_health.ts";
import { createLatencyModel } from "./latency_model.ts";
import { createPrefixAffinity } from "./prefix_affinity.ts";
import { parseRequestId } from "./request_id.ts";
import { createRetryBudget } from "./retry_budget.ts";
import type { EndpointView } from "./routing.ts";
import { createExpectedTimeChoice } from "./routing.ts";
import { createWorkQueue } from "./work_queue.ts";

const RULINGS = { name: "rulings", priority: 1, target: 0.99 };

describe("admission", () => {
  const stage = { wait: 0, service: 100, unloaded: 50 };

  function admit(stages = [stage], remaining = 500) {
    const admission = createAdmission({
      clock: createFakeClock(),
      random: () => 0,
      maxInProgress: 1,
      readLowestPriority: () => 3,
    });
    return {
      admission,
      decide: () => admission.admit({ workClass: RULINGS, remaining, stages }),
    };
  }

  it("admits what can be done in time, and counts it until it ends", () => {
    const { admission, decide } = admit();
    const admitted = decide();
    expect(admission.inProgress).to.equal(1);
    expect(decide().isErr).to.equal(true);
    if (admitted.isOk) admitted.value.end({ kind: "other" });
    if (admitted.isOk) admitted.value.end({ kind: "other" });
    expect(admission.inProgress).to.equal(0);
  });

  it("refuses early what the queues would make late, and says when to return", () => {
    const { decide } = admit([{ ...stage, wait: 900 }]);
    const refused = decide();
    expect(refused.isErr && refused.error).to.deep.include({
      kind: "overloaded",
      verdict: "not_run",
      retryAfterMs: 500,
    });
  });

  it("refuses a deadline that even an idle site cannot meet", () => {
    const { decide } = admit([stage], 40);
    const refused = decide();
    expect(refused.isErr && refused.error.kind).to.equal("deadline_exceeded");
  });

  it("spreads the times to come back, so that callers do not return together", () => {
    expect(spreadRetryAfter(1_000, () => 0)).to.equal(1_000);
    expect(spreadRetryAfter(1_000, () => 0.99)).to.equal(1_990);
    expect(spreadRetryAfter(0, () => 0)).to.be.above(0);
  });
});

describe("class limit", () => {
  const CHAT = { name: "chat", priority: 3, target: 0.9 };

  function create() {
    const clock = createFakeClock();
    const admission = createAdmission({
      clock,
      random: () => 0,
      maxInProgress: 1_000,
      readLowestPriority: () => 3,
    });
    const admit = (workClass: typeof RULINGS) => {
      const admitted = admission.admit({
        workClass,
        remaining: 1_000,
        stages: [{ wait: 0, service: 1, unloaded: 1 }],
      });
      return admitted.isOk ? admitted.value : undefined;
    };
    return { clock, admission, admit };
  }

  // Rulings miss their deadline while chat is being worked on. Chat admits less
  // from then on; rulings give way only when no chat is left to do so.
  it("makes the lowest priority give way to a miss of any class", async () => {
    const { clock, admit } = create();
    for (let i = 0; i < 60; i++) {
      const chat = admit(CHAT);
      admit(RULINGS)?.end({ kind: "missed" });
      chat?.end({ kind: "other" });
      await clock.advance(200);
    }
    expect(admit(RULINGS)).not.to.equal(undefined);
    expect(admit(CHAT)).to.equal(undefined);
  });

  // Chat itself misses all the time. Rulings must not admit less because of it.
  it("never makes a class give way to one of lower priority", async () => {
    const { clock, admit } = create();
    for (let i = 0; i < 200; i++) {
      const ruling = admit(RULINGS);
      admit(CHAT)?.end({ kind: "missed" });
      ruling?.end({ kind: "other" });
      await clock.advance(200);
    }
    for (let i = 0; i < 32; i++) expect(admit(RULINGS)).not.to.equal(undefined);
  });

  // Rulings miss at one entry because of the chat that callers send to another.
  // The first must not refuse rulings; it tells the second, whose chat gives way.
  it("asks other entries for relief instead of refusing rulings itself", async () => {
    const strained = create();
    const busy = create();
    for (let i = 0; i < 60; i++) {
      strained.admit(RULINGS)?.end({ kind: "missed" });
      const chat = busy.admit(CHAT);
      busy.admission.relieve(strained.admission.strainedPriority);
      chat?.end({ kind: "other" });
      await strained.clock.advance(200);
      await busy.clock.advance(200);
    }
    expect(strained.admit(RULINGS)).not.to.equal(undefined);
    expect(busy.admit(CHAT)).to.equal(undefined);
    await strained.clock.advance(2_001);
    expect(strained.admission.strainedPriority).to.equal(0);
  });

  it("lets a class that gave way try again after a pause", async () => {
    const clock = createFakeClock();
    const limit = createClassLimit(clock);
    while (limit.shrink()) await clock.advance(200);
    limit.begin();
    limit.end({ kind: "other" });
    expect(limit.hasRoom()).to.equal(false);
    await clock.advance(5_000);
    expect(limit.hasRoom()).to.equal(true);
  });

  // An entry has just started and many requests come at once. Nothing has missed
  // its deadline, so nothing may be refused.
  it("refuses nothing before the first miss", () => {
    const { admit } = create();
    for (let i = 0; i < 900; i++) expect(admit(CHAT)).not.to.equal(undefined);
  });

  it("falls once for a bunch of misses", () => {
    const limit = createClassLimit(createFakeClock());
    for (let i = 0; i < 31; i++) limit.begin();
    limit.shrink();
    limit.shrink();
    expect(limit.value).to.equal(24);
  });

  it("rises again, faster the more time was left", () => {
    const limit = createClassLimit(createFakeClock());
    for (let i = 0; i < 31; i++) limit.begin();
    limit.shrink();
    const run = (how: AdmittedEnd) => {
      while (limit.hasRoom()) limit.begin();
      limit.end(how);
    };
    run({ kind: "in_time", slack: 0.9 });
    expect(limit.value).to.be.closeTo(24.96, 0.01);
    run({ kind: "in_time", slack: 0.3 });
    expect(limit.value).to.be.closeTo(25.21, 0.01);
    run({ kind: "in_time", slack: 0.01 });
    expect(limit.value).to.be.closeTo(25.21, 0.01);
  });
});

describe("work queue", () => {
  it("prefers, between equal priorities, the class furthest below its target", () => {
    const attained = new Map([["ratings", 0.95], ["certification", 0.6]]);
    const queue = createWorkQueue({
      estimateAttainment: (name) => attained.get(name) ?? 1,
      countInProgress: () => 0,
    });
    const add = (name: string) =>
      queue.add({
        workClass: { name, priority: 1, target: 0.9 },
        account: "a",
      });
    add("ratings");
    add("certification");
    const next = queue.peek();
    expect(next?.workClass.name).to.equal("certification");
    if (next !== undefined) queue.remove(next);
    expect(queue.countAhead(1)).to.equal(1);
    expect(queue.countAhead(0)).to.equal(0);
  });
});

describe("concurrency limit", () => {
  it("grows while the endpoint keeps up and shrinks once for a congestion", async () => {
    const clock = createFakeClock();
    const limit = createConcurrencyLimit({ clock, start: 4, max: 8 });
    for (let i = 0; i < 40; i++) limit.record(1, limit.value);
    expect(limit.value).to.equal(8);
    limit.record(5, 8);
    limit.record(5, 8);
    expect(limit.value).to.equal(6);
    await clock.advance(101);
    for (let i = 0; i < 60; i++) {
      limit.recordOverload();
      await clock.advance(101);
    }
    expect(limit.value).to.equal(1);
  });

  it("does not grow on measurements that did not test it", () => {
    const limit = createConcurrencyLimit({
      clock: createFakeClock(),
      start: 4,
      max: 8,
    });
    for (let i = 0; i < 40; i++) limit.record(1, 1);
    expect(limit.value).to.equal(4);
  });
});

describe("endpoint ejection", () => {
  function createPool(ratios: number[]) {
    const clock = createFakeClock();
    const pool = ratios.map(() => createEndpointHealth(clock));
    pool.forEach((health, i) => {
      for (let n = 0; n < 60; n++) health.recordSuccess(ratios[i] ?? 1);
    });
    return { clock, pool };
  }

  it("takes out the endpoint that stands out, for a while", async () => {
    const { clock, pool } = createPool([1, 1, 1, 9]);
    expect(ejectSlowest(pool)).to.equal(pool[3]);
    await clock.advance(1_001);
    expect(pool[3]?.isEjected()).to.equal(false);
  });

  // A surge makes every endpoint slow at once. Taking slow ones out would send
  // their work to the others until the pool is empty.
  it("keeps the pool in a surge that makes all of it slow", () => {
    const { pool } = createPool([9, 9, 9, 9]);
    expect(ejectSlowest(pool)).to.equal(undefined);
  });

  it("never takes out more than a third of a pool for being slow", () => {
    const { pool } = createPool([1, 1, 1, 9, 9, 9]);
    while (ejectSlowest(pool) !== undefined);
    expect(pool.filter((health) => health.isEjected()).length).to.equal(2);
  });
});

describe("retry budget", () => {
  it("allows second attempts as a share of fresh requests only", () => {
    const budget = createRetryBudget({ share: 0.1, max: 2 });
    let allowed = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.deposit();
      if (budget.withdraw()) allowed++;
    }
    expect(allowed).to.be.within(99, 102);
  });
});

describe("latency model", () => {
  it("learns times by size and guesses an unseen size from the nearest", () => {
    const model = createLatencyModel();
    for (let i = 0; i < 50; i++) {
      model.record(100, 10);
      model.record(4_000, 80);
    }
    expect(model.estimateUnloaded(100)).to.equal(10);
    expect(model.estimateUnloaded(5_000)).to.equal(80);
    expect(model.estimateUnloaded(150)).to.equal(10);
    expect(model.record(100, 30)).to.equal(3);
    expect(model.estimateSlow(100)).to.be.at.least(model.estimateTypical(100));
  });
});

describe("prefix affinity", () => {
  it("believes less with age, and less after a gap in the events", async () => {
    const clock = createFakeClock();
    const affinity = createPrefixAffinity({ clock, capacity: 2 });
    const stored = (sequence: number, prefix: string) =>
      ({ sequence, kind: "stored", prefix }) as const;
    affinity.applyEvents("e1", [stored(0, "a")]);
    expect(affinity.estimate("e1", "a")).to.equal(1);
    affinity.applyEvents("e1", [stored(5, "b")]);
    expect(affinity.estimate("e1", "a")).to.equal(0.5);
    affinity.noteSent("e1", "c");
    expect(affinity.estimate("e1", "a")).to.equal(0);
    affinity.applyEvents("e1", [{ sequence: 6, kind: "evicted", prefix: "b" }]);
    expect(affinity.estimate("e1", "b")).to.equal(0);
    await clock.advance(60_000);
    expect(affinity.estimate("e1", "c")).to.equal(0.5);
  });
});

describe("routing by expected time", () => {
  function view(id: string, change: Partial<EndpointView> = {}): EndpointView {
    const info: EndpointInfo = {
      id,
      incarnation: "1",
      pool: "engine",
      place: "odda",
      address: id,
      state: "live",
    };
    return {
      info,
      inFlight: 0,
      slowness: 1,
      report: undefined,
      inFlightAtReport: 0,
      ...change,
    };
  }

  const choose = createExpectedTimeChoice({
    ownPlace: "odda",
    random: () => 0,
  });

  const report = (running: number, takenAt: number) => ({
    running,
    queued: 0,
    slots: 8,
    takenAt,
  });

  const CASES = [
    { name: "the less busy one", a: view("a", { inFlight: 6 }), b: view("b") },
    { name: "the faster one", a: view("a", { slowness: 3 }), b: view("b") },
    {
      // Every entry reads the same late report. Following it, all would send
      // to the same endpoint until the next report, and then to another.
      name: "the less busy one whatever the reports of both say",
      a: view("a", { inFlight: 4 }),
      b: view("b", { report: report(8, -9_000) }),
    },
  ];

  for (const { name, a, b } of CASES) {
    it(`chooses ${name}`, () => {
      expect(choose([a, b], {})?.info.id).to.equal("b");
    });
  }

  it("weighs a cached prefix against load", () => {
    const affinity = ({ id }: EndpointInfo) => id === "c" ? 0.5 : 0;
    const others = [view("a"), view("b")];
    expect(choose([...others, view("c")], { affinity })?.info.id)
      .to.equal("c");
    const busy = view("c", { inFlight: 8 });
    expect(choose([...others, busy], { affinity })?.info.id).not.to.equal("c");
  });
});

describe("attainment tracker", () => {
  it("counts refusals and failures against a class", () => {
    const tracker = createAttainmentTracker(createFakeClock());
    tracker.record("rulings", "in_time");
    tracker.record("rulings", "refused");
    expect(tracker.estimate("rulings")).to.equal(0.5);
    expect(tracker.estimate("other")).to.equal(1);
  });
});

describe("request ids", () => {
  const CASES = [
    { text: "b~entry-1-ab~kx~part", kind: "bound" },
    { text: "0190b6a3-7c00-7abc-8def-0123456789ab", kind: "dated" },
    { text: "my.own_id~1", kind: "plain" },
    { text: "b~entry-1~", kind: undefined },
    { text: "has space", kind: undefined },
    { text: "", kind: undefined },
    { text: "x".repeat(161), kind: undefined },
  ];
  for (const { text, kind } of CASES) {
    it(`reads "${text.slice(0, 40)}" as ${kind ?? "malformed"}`, () => {
      expect(parseRequestId(text)?.kind).to.equal(kind);
    });
  }

  it("reads the time of a UUIDv7", () => {
    const id = parseRequestId("0190b6a3-7c00-7abc-8def-0123456789ab");
    expect(id?.kind === "dated" && id.issuedAt).to.equal(0x0190b6a37c00);
  });
});
