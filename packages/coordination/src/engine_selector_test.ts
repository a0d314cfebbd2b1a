import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EngineView } from "./engine_selector.ts";
import { createEngineSelector } from "./engine_selector.ts";
import { listByRendezvous } from "./rendezvous.ts";

function createEngine(
  id: string,
  change: Partial<EngineView> = {},
): EngineView {
  const info = {
    id,
    incarnation: "1",
    pool: "p",
    place: "a",
    address: id,
    state: "live",
  } as const;
  return { info, load: 0, slowdown: 1, ...change };
}

const IDS = ["e1", "e2", "e3", "e4", "e5"];
/** A slot's share of the memory is 5,000 tokens. */
const SPEC = { slots: 40, tokenCapacity: 200_000 };

function createParts(session: string) {
  return [
    { id: "common", tokens: 2_000 },
    { id: session, tokens: 3_000 },
    { id: `own-${Math.PI}`, tokens: 100 },
  ];
}

describe("engine selection", () => {
  const listIds = (session: string, engines: EngineView[]) =>
    createEngineSelector(createFakeClock())
      .rank(createParts(session), engines, SPEC).map(({ info }) => info.id);

  it("gives a session the same home at every entry", () => {
    const engines = IDS.map((id) => createEngine(id));
    expect(listIds("s1", engines))
      .to.deep.equal(listIds("s1", [...engines].reverse()));
  });

  it("moves only the sessions of an engine that is gone", () => {
    const engines = IDS.map((id) => createEngine(id));
    const fewer = engines.filter(({ info }) => info.id !== "e3");
    for (let index = 0; index < 200; index++) {
      const [home] = listIds(`s${index}`, engines);
      if (home === "e3") continue;
      expect(listIds(`s${index}`, fewer)[0]).to.equal(home);
    }
  });

  it("spreads sessions over all engines", () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 1_000; index++) {
      const [home = ""] = listByRendezvous(IDS, {
        key: `s${index}`,
        readName: (id) => id,
      });
      counts.set(home, (counts.get(home) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(count).to.be.within(140, 260);
  });

  // One case gets a quarter of all rulings. Its home engine would delay all of
  // them while other engines are idle.
  it("moves on from a home that has far more than its share", () => {
    const [home = ""] = listIds("hot", IDS.map((id) => createEngine(id)));
    const engines = IDS.map((id) =>
      createEngine(id, { load: id === home ? 12 : 2 })
    );
    expect(listIds("hot", engines)[0]).not.to.equal(home);
    expect(listIds("hot", engines).at(-1)).to.equal(home);
  });

  it("ranks a slow engine behind the others", () => {
    const [home = ""] = listIds("s1", IDS.map((id) => createEngine(id)));
    const engines = IDS.map((id) =>
      createEngine(id, { slowdown: id === home ? 5 : 1 })
    );
    expect(listIds("s1", engines).at(-1)).to.equal(home);
  });

  // Loads of other entries are known only from engines that answered recently.
  // Against a mean of such partly known loads, an engine that has just reported
  // its load would look overloaded, and the prompts of its sessions would be
  // processed again elsewhere.
  it("keeps a session at a home that has most of its slots free", () => {
    const [home = ""] = listIds("s1", IDS.map((id) => createEngine(id)));
    const engines = IDS.map((id) =>
      createEngine(id, { load: id === home ? 8 : 0 })
    );
    expect(listIds("s1", engines)[0]).to.equal(home);
  });

  describe("very large prompts", () => {
    const TEN = Array.from({ length: 10 }, (_, index) => `e${index}`);
    const LARGE = [{ id: "session", tokens: 3_000 }, {
      id: "own",
      tokens: 30_000,
    }];

    function createPool() {
      const clock = createFakeClock();
      const selector = createEngineSelector(clock);
      const listHomes = (
        sessions: number,
        ids: readonly string[],
      ) =>
        new Set(
          Array.from({ length: sessions }, (_, index) =>
            selector.rank(
              createParts(`s${index}`),
              ids.map((id) => createEngine(id)),
              SPEC,
            )[0]?.info.id),
        );
      const listLarge = () =>
        selector.rank(LARGE, TEN.map((id) => createEngine(id)), SPEC)
          .map(({ info }) => info.id);
      return { clock, selector, listHomes, listLarge };
    }

    // An engine processes a file of thirty thousand tokens for a second.
    // Requests that share the engine wait as long for a first event, and
    // streams that run there pause for longer than their callers allow.
    it("share no engine with small ones", () => {
      const { listHomes, listLarge } = createPool();
      const group = listLarge().slice(0, 3);
      const homes = listHomes(300, TEN);
      expect(homes.size).to.equal(7);
      for (const id of group) expect(homes.has(id)).to.equal(false);
    });

    it("reserve no engine while there are none", async () => {
      const { clock, listHomes, listLarge } = createPool();
      expect(listHomes(300, TEN).size).to.equal(10);
      listLarge();
      expect(listHomes(300, TEN).size).to.equal(7);
      await clock.advance(61_000);
      expect(listHomes(300, TEN).size).to.equal(10);
    });

    // All engines for large prompts fail at once; the remaining ones serve
    // everything.
    it("use other engines when their own are not usable", () => {
      const { selector, listLarge } = createPool();
      const group = listLarge().slice(0, 3);
      const engines = TEN.map((id) =>
        createEngine(id, { slowdown: group.includes(id) ? 9 : 1 })
      );
      const [first] = selector.rank(LARGE, engines, SPEC);
      expect(group).not.to.include(first?.info.id);
    });

    it("have no engine of their own in a small pool", () => {
      const { listHomes, listLarge } = createPool();
      listLarge();
      expect(listHomes(50, ["e1"]).size).to.equal(1);
    });
  });
});
