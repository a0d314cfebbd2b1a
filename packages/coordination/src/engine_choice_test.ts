import { expect } from "chai";
import type { EngineView } from "./engine_choice.ts";
import { listEnginesFor } from "./engine_choice.ts";
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
  return { info, load: 0, slowness: 1, ...change };
}

const IDS = ["e1", "e2", "e3", "e4", "e5"];

function createParts(session: string) {
  return [
    { id: "common", tokens: 2_000 },
    { id: session, tokens: 3_000 },
    { id: `own-${Math.PI}`, tokens: 100 },
  ];
}

describe("choice of an engine", () => {
  const listIds = (session: string, engines: EngineView[]) =>
    listEnginesFor(createParts(session), engines).map(({ info }) => info.id);

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

  // One case gets a quarter of all rulings. Its home would keep all of them
  // waiting while other engines are idle.
  it("passes on from a home that has far more than its share", () => {
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
      createEngine(id, { slowness: id === home ? 5 : 1 })
    );
    expect(listIds("s1", engines).at(-1)).to.equal(home);
  });
});
