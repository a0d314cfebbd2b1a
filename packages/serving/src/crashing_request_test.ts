import type { RouteKind } from "@mangoreach/coordination";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { ArrivalOutcome, TestFleet } from "./test_fleet.ts";
import { CRASHING, createTestFleet, RESTART_TIME } from "./test_fleet.ts";

/**
 * Guards against one request that takes down engine after engine, each time
 * cutting the streams of other callers. It crashes each engine that runs it,
 * and its caller resends it every 0.5 to 2.1 s, under a new id and to another
 * entry. Entries that only count the attempts of one id do not recognise it and
 * just log "the stream broke off before its first event": the third engine
 * crashes at 11.03 s, the twelfth at 24.06 s.
 */
describe("a request that crashes each endpoint", () => {
  const ENTRIES = 8;
  const ENDPOINTS = 8;
  const ARRIVALS = 12;
  const PAUSE = 700;

  function createFleet(
    { kind = "stream", maxAttempts = 1, endpoints = ENDPOINTS }: {
      kind?: RouteKind;
      maxAttempts?: number;
      endpoints?: number;
    } = {},
  ) {
    const clock = createFakeClock(0);
    const route = { kind, maxAttempts };
    const fleet = createTestFleet({
      clock,
      entries: ENTRIES,
      endpoints,
      route,
    });
    return { clock, fleet };
  }

  async function sendRepeatedly(
    fleet: TestFleet,
    { clock }: { clock: FakeClock },
  ): Promise<ArrivalOutcome[]> {
    const outcomes: ArrivalOutcome[] = [];
    for (let arrival = 0; arrival < ARRIVALS; arrival++) {
      const entry = arrival % ENTRIES;
      const sent = fleet.send({ entry, body: CRASHING });
      await clock.advance(PAUSE);
      outcomes.push(await sent);
    }
    return outcomes;
  }

  const KINDS: { kind: RouteKind; maxAttempts: number }[] = [
    { kind: "stream", maxAttempts: 1 },
    { kind: "non_idempotent", maxAttempts: 1 },
    { kind: "idempotent", maxAttempts: 3 },
  ];

  it("is refused after three crashes, whatever the kind of route", async () => {
    const reached: Record<string, number> = {};
    const last: Record<string, ArrivalOutcome | undefined> = {};
    for (const { kind, maxAttempts } of KINDS) {
      const { clock, fleet } = createFleet({ kind, maxAttempts });
      const outcomes = await sendRepeatedly(fleet, { clock });
      reached[kind] = fleet.listReached(CRASHING).length;
      last[kind] = outcomes.at(-1);
    }
    const known = { stream: 3, non_idempotent: 3, idempotent: 3 };
    expect(reached).to.deep.equal(known);
    const refusal: ArrivalOutcome = { seen: ["not_run"], took: 0 };
    expect(last).to.deep.equal({
      stream: refusal,
      non_idempotent: refusal,
      idempotent: refusal,
    });
  });

  it("is refused by entries that have just started", async () => {
    const { clock, fleet } = createFleet();
    await sendRepeatedly(fleet, { clock });
    fleet.restartEntries();
    await sendRepeatedly(fleet, { clock });
    expect(fleet.listReached(CRASHING)).to.have.length(3);
  });

  /**
   * Aggregators quarantine it themselves; the others learn it by gossip within
   * two seconds, some three arrivals.
   */
  it("is soon refused everywhere while the store is unavailable", async () => {
    const { clock, fleet } = createFleet();
    fleet.setStoreDown(true);
    await sendRepeatedly(fleet, { clock });
    const reached = fleet.listReached(CRASHING).length;
    expect(reached).to.be.within(3, 6);
    await sendRepeatedly(fleet, { clock });
    expect(fleet.listReached(CRASHING)).to.have.length(reached);
  });

  it("is soon refused when many callers send it at once", async () => {
    const { clock, fleet } = createFleet();
    for (let wave = 0; wave < 6; wave++) {
      const sent = [0, 1, 2].map((entry) =>
        fleet.send({ entry: entry + wave % 3, body: CRASHING })
      );
      await clock.advance(PAUSE);
      await Promise.all(sent);
    }
    const reached = fleet.listReached(CRASHING).length;
    const last = fleet.send({ entry: 7, body: CRASHING });
    await clock.advance(PAUSE);
    expect((await last).seen).to.deep.equal(["not_run"]);
    // Three waves at most: crashes at the same moment count as one.
    expect(reached).to.be.within(3, 9);
  });

  it("does not quarantine others that ran at the same endpoints", async () => {
    const { clock, fleet } = createFleet({ endpoints: 1 });
    async function sendTogether(entry: number, bodies: readonly string[]) {
      const sent = bodies.map((body) => fleet.send({ entry, body }));
      await clock.advance(RESTART_TIME + PAUSE);
      await Promise.all(sent);
    }
    await sendTogether(0, [CRASHING]);
    await sendTogether(1, ["beside", CRASHING]);
    await sendTogether(2, ["beside", CRASHING]);
    const bystander = fleet.send({ entry: 3, body: "beside" });
    fleet.killEndpoints(1);
    await clock.advance(RESTART_TIME + PAUSE);
    await bystander;
    const again = fleet.send({ entry: 4, body: "beside" });
    await clock.advance(PAUSE);
    expect((await again).seen).to.include("beside");
  });

  it("is not assumed of popular content while endpoints fail", async () => {
    const { clock, fleet } = createFleet({ endpoints: 4 });
    for (let failure = 0; failure < 4; failure++) {
      const sent = Array.from(
        { length: 6 },
        (_, entry) => fleet.send({ entry, body: "popular" }),
      );
      await clock.advance(1);
      fleet.killEndpoints(3);
      await clock.advance(RESTART_TIME + PAUSE);
      await Promise.all(sent);
      const later = fleet.send({ entry: 6, body: "popular" });
      await clock.advance(PAUSE);
      expect((await later).seen).to.include("popular");
    }
  });
});
