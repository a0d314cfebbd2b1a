import { expect } from "chai";
import { planStages } from "./stage_plan.ts";

function createStage(...after: number[]) {
  return { pool: "p", after, resultBytes: 1 };
}

describe("plan of stages", () => {
  it("starts a chain in order and computes the time after each stage", () => {
    const plan = planStages(
      [createStage(), createStage(0), createStage(1)],
      [200, 300, 400],
    );
    expect(plan).to.deep.equal([
      { dependencies: [], downstreamTime: 700 },
      { dependencies: [0], downstreamTime: 400 },
      { dependencies: [1, 0], downstreamTime: 0 },
    ]);
  });

  // Stage 0 produces results of megabytes parallel to a chain of three stages.
  // Started first, its results occupy storage during the whole chain, and other
  // requests wait for that storage.
  it("starts a stage parallel to a chain with the chain's last stage", () => {
    const plan = planStages(
      [createStage(), createStage(), createStage(1), createStage(2)],
      [270, 220, 280, 280],
    );
    expect(plan[0]?.dependencies).to.have.members([1, 2]);
    expect(plan[3]?.dependencies).to.have.members([1, 2]);
    expect(plan[1]?.dependencies).to.deep.equal([]);
  });

  it("starts a stage earlier if it takes longer than the chain's last stage", () => {
    const plan = planStages(
      [createStage(), createStage(), createStage(1), createStage(2)],
      [500, 220, 280, 280],
    );
    expect(plan[0]?.dependencies).to.deep.equal([1]);
  });

  it("creates no circular dependencies", () => {
    const plan = planStages([createStage(), createStage()], [200, 200]);
    expect(plan.map(({ dependencies }) => dependencies)).to.deep.equal([
      [],
      [],
    ]);
  });
});
