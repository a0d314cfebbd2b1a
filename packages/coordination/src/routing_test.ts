import { expect } from "chai";
import type { EndpointInfo } from "./endpoint.ts";
import type { EndpointView } from "./routing.ts";
import { createExpectedTimeChoice } from "./routing.ts";

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
      slowdown: 1,
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
    { name: "the faster one", a: view("a", { slowdown: 3 }), b: view("b") },
    {
      // Every entry reads the same delayed report. If they used it, all would
      // send to one endpoint until the next report, and then to another.
      name: "the less busy one regardless of load reports",
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
