import { expect } from "chai";
import { createFakeClock } from "@mangoreach/shared";
import type { DecisionFields } from "./decision_log.ts";
import type { PeerGossipOptions } from "./peer_gossip.ts";
import { createPeerGossip } from "./peer_gossip.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import { createTestPeer } from "./test_support.ts";

describe("entries named to callers", () => {
  const clock = createFakeClock();
  const lines: DecisionFields[] = [];
  const metrics = createServingMetrics("self");
  const options: Partial<PeerGossipOptions> = {
    clock,
    metrics,
    random: Math.random,
    readWallTime: () => 0,
    incarnation: "self",
    log: {
      record: (kind, fields) => {
        if (kind === "answer_size_changed") lines.push(fields);
      },
    },
    settings: {
      entry: "self",
      place: "odda",
      callers: { host: "127.0.0.1", port: 1 },
      control: { host: "127.0.0.1", port: 2 },
      capacity: 1.35,
    } as PeerGossipOptions["settings"],
    members: {} as PeerGossipOptions["members"],
    readState: () => "live",
    countInFlight: () => 3,
  };
  const gossip = createPeerGossip(options as PeerGossipOptions);
  const addPeers = (count: number, capacity: number, heartbeat = 1) =>
    gossip.membership.merge(
      Array.from({ length: count }, (_, index) => ({
        ...createTestPeer(`${capacity}-${index}`),
        capacity,
        heartbeat,
      })),
    );

  // One log line for each address query would cost more than the decision.
  it("are chosen by capacity, and the size is logged when it changes", async () => {
    addPeers(7, 1.35);
    addPeers(67, 0.324);
    const named = Array.from({ length: 200 }, () => gossip.chooseEntries(64));
    const countNamed = (entry: string) =>
      named.flat().filter((record) => record.entry === entry).length;
    expect(countNamed("self")).to.be.above(2 * countNamed("0.324-1"));
    expect(named[0]!.length).to.be.within(16, 40);
    expect(lines.length).to.equal(1);
    const text = await metrics.registry.metrics();
    expect(text).to.match(/mangoreach_address_answer_entries\S* [23]\d\n/);

    addPeers(160, 0.324);
    gossip.chooseEntries(64);
    expect(lines.length).to.equal(1);
    await clock.advance(10_000);
    addPeers(7, 1.35, 2);
    addPeers(160, 0.324, 2);
    for (let answer = 0; answer < 10; answer++) gossip.chooseEntries(64);
    expect(lines.length).to.equal(2);
  });
});
