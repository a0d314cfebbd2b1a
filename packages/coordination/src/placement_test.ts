import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EngineInventory, PlacedModel } from "./placement.ts";
import { createDemandTracker, planPlacement } from "./placement.ts";

const model = (name: string, minEngines = 1): PlacedModel => ({
  name,
  version: "1",
  adapters: [],
  minEngines,
});

function createEngine(
  endpointKey: string,
  ...names: string[]
): EngineInventory {
  const models = names.map((name) => ({ name, version: "1", adapters: [] }));
  return { endpointKey, models };
}

function plan(
  engines: EngineInventory[],
  demand: [string, number][],
  models = [model("a"), model("b")],
) {
  return planPlacement({
    models,
    engines,
    demand: new Map(demand),
    modelsPerEngine: 1,
  }).map(({ endpointKey, models }) =>
    `${endpointKey}:${models.map(({ name }) => name)}`
  );
}

describe("placement", () => {
  it("assigns engines to models by demand, with a minimum for each", () => {
    const engines = [
      createEngine("e1"),
      createEngine("e2"),
      createEngine("e3"),
      createEngine("e4"),
    ];
    expect(plan(engines, [["a", 90], ["b", 10]]))
      .to.deep.equal(["e1:a", "e2:a", "e3:a", "e4:b"]);
  });

  it("keeps models on engines that have loaded them", () => {
    const engines = [
      createEngine("e1", "b"),
      createEngine("e2", "a"),
      createEngine("e3", "a"),
    ];
    expect(plan(engines, [["a", 60], ["b", 40]]))
      .to.deep.equal(["e1:b", "e2:a", "e3:a"]);
  });

  it("replaces a version without moving the model", () => {
    const next = [{ ...model("a"), version: "2" }];
    const plans = planPlacement({
      models: next,
      engines: [createEngine("e1", "a")],
      demand: new Map(),
      modelsPerEngine: 1,
    });
    expect(plans[0]?.models[0]?.version).to.equal("2");
  });

  // Demand fluctuates a little from minute to minute. Following it would reload
  // weights continuously from a store that is rate-limited.
  it("ignores small changes of demand", () => {
    const tracker = createDemandTracker(createFakeClock());
    tracker.record("a", 50);
    tracker.record("b", 50);
    const before = tracker.read();
    tracker.record("a", 10);
    expect(tracker.read()).to.equal(before);
    tracker.record("a", 200);
    expect(tracker.read().get("a")).to.equal(260);
  });
});
