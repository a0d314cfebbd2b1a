import type { RouteKind } from "@mangoreach/coordination";
import type { FakeClock } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { ComingEnd, TestFleet } from "./test_fleet.ts";
import { CRASHING, createTestFleet, RESTART_TIME } from "./test_fleet.ts";

/**
 * Callers saw streams cut in the middle, again and again, and engines went down
 * one after the other for ten seconds. One request ended each engine that began
 * to work on it; its caller sent it again and again, under a new id and to
 * another entry each time. Entries counted attempts within one id, so nobody
 * knew it again. Ten lines of seven entries said "the stream broke off before
 * its first event" for one route and one account, 0.5 to 2.1 s apart: the third
 * engine ended at 11.03 s, the twelfth at 24.06 s.
 */
describe("a request that ends each endpoint", () => {
  const ENTRIES = 8;
  const ENDPOINTS = 8;
  const COMINGS = 12;
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

  async function sendAgainAndAgain(
    fleet: TestFleet,
    { clock }: { clock: FakeClock },
  ): Promise<ComingEnd[]> {
    const ends: ComingEnd[] = [];
    for (let coming = 0; coming < COMINGS; coming++) {
      const entry = coming % ENTRIES;
      const sent = fleet.send({ entry, body: CRASHING });
      await clock.advance(PAUSE);
      ends.push(await sent);
    }
    return ends;
  }

  const KINDS: { kind: RouteKind; maxAttempts: number }[] = [
    { kind: "stream", maxAttempts: 1 },
    { kind: "non_idempotent", maxAttempts: 1 },
    { kind: "idempotent", maxAttempts: 3 },
  ];

  it("is turned away once three have ended, whatever its kind", async () => {
    const reached: Record<string, number> = {};
    const last: Record<string, ComingEnd | undefined> = {};
    for (const { kind, maxAttempts } of KINDS) {
      const { clock, fleet } = createFleet({ kind, maxAttempts });
      const ends = await sendAgainAndAgain(fleet, { clock });
      reached[kind] = fleet.listReached(CRASHING).length;
      last[kind] = ends.at(-1);
    }
    const known = { stream: 3, non_idempotent: 3, idempotent: 3 };
    expect(reached).to.deep.equal(known);
    const refusal: ComingEnd = { seen: ["not_run"], took: 0 };
    expect(last).to.deep.equal({
      stream: refusal,
      non_idempotent: refusal,
      idempotent: refusal,
    });
  });

  it("is turned away by entries that have just started", async () => {
    const { clock, fleet } = createFleet();
    await sendAgainAndAgain(fleet, { clock });
    fleet.restartEntries();
    await sendAgainAndAgain(fleet, { clock });
    expect(fleet.listReached(CRASHING)).to.have.length(3);
  });

  /**
   * Entries that keep count find it themselves; the others are told by peers
   * within two seconds, some three comings.
   */
  it("is turned away everywhere soon while the store is away", async () => {
    const { clock, fleet } = createFleet();
    fleet.setStoreAway(true);
    await sendAgainAndAgain(fleet, { clock });
    const reached = fleet.listReached(CRASHING).length;
    expect(reached).to.be.within(3, 6);
    await sendAgainAndAgain(fleet, { clock });
    expect(fleet.listReached(CRASHING)).to.have.length(reached);
  });

  it("is turned away soon when many callers send it at once", async () => {
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
    // Three waves at most: what ends at the same moment counts as one end.
    expect(reached).to.be.within(3, 9);
  });

  it("is not confused with what was at the same endpoints", async () => {
    const { clock, fleet } = createFleet({ endpoints: 1 });
    async function sendTogether(entry: number, bodies: readonly string[]) {
      const sent = bodies.map((body) => fleet.send({ entry, body }));
      await clock.advance(RESTART_TIME + PAUSE);
      await Promise.all(sent);
    }
    await sendTogether(0, [CRASHING]);
    await sendTogether(1, ["beside", CRASHING]);
    await sendTogether(2, ["beside", CRASHING]);
    const unlucky = fleet.send({ entry: 3, body: "beside" });
    fleet.endEndpoints(1);
    await clock.advance(RESTART_TIME + PAUSE);
    await unlucky;
    const again = fleet.send({ entry: 4, body: "beside" });
    await clock.advance(PAUSE);
    expect((await again).seen).to.include("beside");
  });

  it("is not what many callers ask for while endpoints fail", async () => {
    const { clock, fleet } = createFleet({ endpoints: 4 });
    for (let failure = 0; failure < 4; failure++) {
      const sent = Array.from(
        { length: 6 },
        (_, entry) => fleet.send({ entry, body: "popular" }),
      );
      await clock.advance(1);
      fleet.endEndpoints(3);
      await clock.advance(RESTART_TIME + PAUSE);
      await Promise.all(sent);
      const later = fleet.send({ entry: 6, body: "popular" });
      await clock.advance(PAUSE);
      expect((await later).seen).to.include("popular");
    }
  });
});
