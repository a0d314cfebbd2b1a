import { expect } from "chai";
import {
  computeMaxConnections,
  connectionLimitsSchema,
} from "./connection_limits.ts";

/**
 * Guards against connections that are closed although the process has
 * descriptors for them.
 */
describe("the bound for connections", () => {
  function compute(settings: object, descriptors: number): number {
    return computeMaxConnections(
      connectionLimitsSchema.parse(settings),
      () => descriptors,
    );
  }

  it("goes by the descriptors of the settings before those of the system", () => {
    expect({
      settings: compute({ maxDescriptors: 4_100 }, 200),
      system: compute({}, 200),
      "no limit": compute({}, Infinity),
      few: compute({ maxDescriptors: 1_000 }, Infinity),
    }).to.deep.equal({
      settings: 3_000,
      system: 150,
      "no limit": 3_000,
      few: 750,
    });
  });
});
