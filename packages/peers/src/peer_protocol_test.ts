import { expect } from "chai";
import type { PeerRecord, PeerState } from "@mangoreach/coordination";
import {
  decodeHeartbeat,
  decodeIntroduction,
  encodeHeartbeat,
  encodeIntroduction,
  introductionSchema,
} from "./peer_protocol.ts";

describe("the state of an entry in messages", () => {
  function createRecord(state: PeerState): PeerRecord {
    return {
      entry: "a",
      incarnation: "a1",
      startedAt: 0,
      place: "z",
      callerAddress: "10.0.0.1:1",
      controlAddress: "10.0.0.1:2",
      state,
      heartbeat: 3,
      configVersion: 1,
      inFlight: 0,
      capacity: 1,
      strainedPriority: 0,
    };
  }

  // Builds that know no detached entries reject a message with another state,
  // and would take its sender for dead.
  it("is one that all builds accept, with detached entries beside it", () => {
    const states = ["live", "unready", "detached", "leaving"] as const;
    const decoded = states.map((state) => {
      const record = createRecord(state);
      const introduction = introductionSchema.parse(encodeIntroduction(record));
      const detached = state === "detached" ? ["a1"] : ["b1"];
      return [
        decodeHeartbeat(encodeHeartbeat(record)).state,
        decodeHeartbeat(encodeHeartbeat(record), detached).state,
        decodeIntroduction(introduction, detached).state,
      ];
    });
    expect(decoded).to.deep.equal([
      ["live", "live", "live"],
      ["unready", "unready", "unready"],
      ["unready", "detached", "detached"],
      ["leaving", "leaving", "leaving"],
    ]);
  });
});
