import { expect } from "chai";
import { createLatencyModel } from "./latency_model.ts";

describe("latency model", () => {
  it("learns times by size and estimates an unseen size from the nearest one", () => {
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
