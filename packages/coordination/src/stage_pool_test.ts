import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createDeadline } from "./deadline.ts";
import type { EndpointInfo } from "./endpoint.ts";
import type { Permit, PoolWork, StagePool } from "./stage_pool.ts";
import { createStagePool } from "./stage_pool.ts";
import { createLeastInFlightChoice } from "./routing.ts";
import type { WorkClass } from "./work_queue.ts";

const RULINGS: WorkClass = { name: "rulings", priority: 1, target: 0.99 };
const CHAT: WorkClass = { name: "chat", priority: 3, target: 0.9 };

function endpoint(id: string): EndpointInfo {
  return {
    id,
    incarnation: "1",
    pool: "encoder",
    place: "odda",
    address: id,
    state: "live",
  };
}

describe("stage pool", () => {
  let clock: FakeClock;
  let pool: StagePool;

  beforeEach(() => {
    clock = createFakeClock();
    pool = createStagePool({
      clock,
      policy: {
        choose: createLeastInFlightChoice(() => 0),
        hasLimits: true,
        hasEjection: true,
      },
      estimateAttainment: () => 1,
      onEjected: () => {},
    });
  });

  function work(
    change: Partial<PoolWork> & { budget?: number } = {},
  ): PoolWork {
    return {
      workClass: RULINGS,
      account: "handlers",
      size: 100,
      deadline: createDeadline({ clock, budget: change.budget ?? 1_000 }),
      reservedTime: 0,
      ...change,
    };
  }

  async function fill(): Promise<Permit[]> {
    const permits: Permit[] = [];
    for (let i = 0; i < 4; i++) {
      const permit = await pool.acquire(work({ workClass: CHAT }));
      if (permit.isOk) permits.push(permit.value);
    }
    return permits;
  }

  it("fails at once with not_run when it has no endpoint", async () => {
    const refused = await pool.acquire(work());
    expect(refused.isErr && refused.error).to.include({
      kind: "unavailable",
      verdict: "not_run",
    });
  });

  it("grants a free slot to the higher priority, however long others wait", async () => {
    pool.refresh([endpoint("e1")]);
    const [first] = await fill();
    const order: string[] = [];
    const chat = pool.acquire(work({ workClass: CHAT }))
      .then(() => order.push("chat"));
    const ruling = pool.acquire(work()).then((permit) => {
      order.push("ruling");
      if (permit.isOk) permit.value.release("done");
    });
    first?.release("done");
    await Promise.all([chat, ruling]);
    expect(order).to.deep.equal(["ruling", "chat"]);
  });

  it("shares slots between accounts of a class", async () => {
    pool.refresh([endpoint("e1")]);
    const permits = await fill();
    const order: string[] = [];
    const wait = (account: string) =>
      pool.acquire(work({ account })).then(() => order.push(account));
    const waiting = [wait("large"), wait("large"), wait("small")];
    permits[0]?.release("done");
    permits[1]?.release("done");
    await clock.advance(0);
    expect(order.sort()).to.deep.equal(["large", "small"]);
    permits[2]?.release("done");
    await Promise.all(waiting);
  });

  // Work that waits behind other work is refused as soon as it cannot be served
  // in time, and not only at its deadline.
  it("refuses waiting work once the remaining stages cannot meet the deadline", async () => {
    pool.refresh([endpoint("e1")]);
    await fill();
    let gaveUpAt = 0;
    const startedAt = clock.now();
    const waiting = pool.acquire(work({ reservedTime: 700 })).then(
      (refused) => {
        gaveUpAt = clock.now() - startedAt;
        return refused;
      },
    );
    await clock.advance(1_000);
    const refused = await waiting;
    expect(refused.isErr && refused.error.verdict).to.equal("not_run");
    expect(gaveUpAt).to.be.below(300);
  });

  // Rulings take every slot that becomes free. Waiting chat would be served
  // soon if all slots were its own, but it gets none; the estimate must show
  // this.
  it("estimates the wait from recent grants of the same priority", async () => {
    pool.refresh([endpoint("e1")]);
    const permits = await fill();
    for (let i = 0; i < 3; i++) {
      void pool.acquire(work({ workClass: CHAT, budget: 60_000 }));
    }
    for (let i = 0; i < 40; i++) {
      const ruling = pool.acquire(work());
      permits.shift()?.release("done");
      const granted = await ruling;
      if (granted.isOk) permits.push(granted.value);
      await clock.advance(100);
    }
    expect(pool.estimateWait(CHAT.priority)).to.be.above(3_000);
    expect(pool.estimateWait(RULINGS.priority)).to.be.below(1_000);
  });

  // A few slow rulings raise the estimate so far that others are refused, and
  // then no samples arrive that could correct it.
  it("decays an estimate that would prevent its own correction", async () => {
    pool.refresh([endpoint("e1")]);
    for (const latency of [...new Array(30).fill(10), 100, 100, 100]) {
      const permit = await pool.acquire(work());
      if (permit.isOk) permit.value.recordLatency(latency);
      if (permit.isOk) permit.value.release("done");
    }
    const slow = pool.estimateService(100, RULINGS.priority);
    await clock.advance(10_000);
    expect(slow).to.be.above(2 * pool.estimateUnloaded(100));
    expect(pool.estimateService(100, RULINGS.priority))
      .to.be.below(1.1 * pool.estimateUnloaded(100));
  });

  it("leaves the queue when the caller disconnects", async () => {
    pool.refresh([endpoint("e1")]);
    await fill();
    const gone = work();
    const waiting = pool.acquire(gone);
    gone.deadline.cancel("caller_gone");
    const refused = await waiting;
    expect(refused.isErr && refused.error.kind).to.equal("cancelled");
    expect(pool.readStatus().queued).to.equal(0);
  });

  it("sends nothing new to an endpoint that has left", async () => {
    pool.refresh([endpoint("e1"), endpoint("e2")]);
    pool.refresh([endpoint("e2")]);
    const permit = await pool.acquire(work());
    expect(permit.isOk && permit.value.endpoint.id).to.equal("e2");
  });

  it("ejects a dead endpoint and tries it again later", async () => {
    pool.refresh([endpoint("e1"), endpoint("e2")]);
    const acquireId = async () => {
      const permit = await pool.acquire(work());
      if (permit.isErr) return "none";
      const { id } = permit.value.endpoint;
      permit.value.release(id === "e1" ? "unreachable" : "done");
      return id;
    };
    const before = [
      await acquireId(),
      await acquireId(),
      await acquireId(),
      await acquireId(),
    ];
    expect(before.filter((id) => id === "e1").length).to.equal(1);
    await clock.advance(1_001);
    expect([await acquireId(), await acquireId()]).to.include("e1");
  });

  it("subtracts the work of other entries in the endpoint's last report", () => {
    pool.refresh([endpoint("e1")]);
    pool.recordReport("e1#1", {
      running: 6,
      queued: 0,
      slots: 8,
      takenAt: clock.now(),
    });
    expect(pool.readStatus().endpoints[0]?.limit).to.equal(2);
  });

  // Chat of other entries fills the engines while rulings wait at this entry.
  // An engine that reports its slots honours priorities, so rulings are sent to
  // it.
  it("queues high-priority work at an endpoint that others have filled", async () => {
    pool.refresh([endpoint("e1")]);
    pool.recordReport("e1#1", {
      running: 8,
      queued: 0,
      slots: 8,
      takenAt: clock.now(),
    });
    const acquired: string[] = [];
    for (const workClass of [CHAT, CHAT, CHAT, CHAT, RULINGS]) {
      void pool.acquire(work({ workClass }))
        .then(() => acquired.push(workClass.name));
    }
    await clock.advance(0);
    expect(acquired).to.include("rulings");
    expect(acquired.length).to.be.below(5);
  });
});
