import { expect } from "chai";
import * as fc from "fast-check";
import type { ConfigRecord } from "./config_fold.ts";
import { createConfigFold } from "./config_fold.ts";

type Record = ConfigRecord<string>;

function publish(publishId: string, basedOn: number): Record {
  return {
    kind: "publish",
    publishId,
    author: publishId,
    basedOn,
    config: publishId,
  };
}

function carry(publishId: string, version: number, asOf: number): Record {
  return {
    kind: "carry_forward",
    publishId,
    author: "entry",
    version,
    asOf,
    config: publishId,
  };
}

/** Reads `records` from `start` on, like an entry that starts late. */
function fold(records: readonly Record[], start = 0) {
  const reader = createConfigFold<string>();
  if (start > 0) reader.startFrom(start);
  records.forEach((record, offset) => {
    if (offset >= start) reader.apply(record, { offset });
  });
  return reader;
}

describe("config fold", () => {
  // Two operators publish at the same time, both based on version 1. The log
  // orders one first; every place must apply that one and reject the other.
  it("applies the first of two conflicting publishes and rejects the other", () => {
    const reader = fold([publish("a", 0), publish("b", 1), publish("c", 1)]);
    expect(reader.inForce).to.include({ version: 2, config: "b" });
  });

  // The answer to an append was lost, and the operator's tool appended again.
  it("applies a publish once if it is in the log twice", () => {
    const reader = fold([publish("a", 0), publish("a", 0), publish("b", 1)]);
    expect(reader.inForce).to.include({ version: 2, config: "b" });
  });

  // An entry was slow to carry version 1 forward, and version 2 was published
  // in the meantime. The copy follows it in the log and must not revert it.
  it("ignores a copy that arrives late", () => {
    const reader = fold([publish("a", 0), publish("b", 1), carry("a", 1, 0)]);
    expect(reader.inForce).to.include({ version: 2, config: "b" });
  });

  // Old records have expired. A starting entry sees a publish that lost to one
  // that it cannot see any more; applying it would split the site.
  it("does not decide about publishes before a base covers the gap", () => {
    const records = [publish("a", 0), publish("b", 1), publish("c", 1)];
    expect(fold(records, 2).inForce).to.equal(undefined);
    const later = fold([...records, carry("b", 2, 2)], 2);
    expect(later.inForce).to.include({ version: 2, config: "b" });
  });

  // The first copy that a late reader finds is outdated: the publish that
  // followed it has expired. Based on that copy, the reader would apply a
  // publish that everyone else rejected.
  it("does not decide based on a copy that does not cover the gap", () => {
    const records = [
      publish("a", 0),
      publish("b", 1),
      carry("a", 1, 0),
      publish("d", 1),
    ];
    const reader = fold(records, 2);
    expect(reader.inForce).to.include({ version: 1, config: "a" });
    reader.apply(carry("b", 2, 3), { offset: 4 });
    expect(reader.inForce).to.include({ version: 2, config: "b" });
  });

  it("decides what it held back once a base covers the gap", () => {
    const records = [
      publish("a", 0),
      publish("b", 1),
      publish("c", 2),
      carry("b", 2, 1),
    ];
    expect(fold(records, 2).inForce).to.include({ version: 3, config: "c" });
  });

  it("applies a newer configuration from a peer and never an older one", () => {
    const reader = fold([publish("a", 0)]);
    const peer = {
      version: 3,
      publishId: "c",
      author: "c",
      asOf: 9,
      config: "c",
    };
    expect(reader.applyPeerConfig(peer)).to.equal("in_force");
    expect(reader.applyPeerConfig({ ...peer, version: 2 })).to.equal("ignored");
    reader.apply(publish("b", 1), { offset: 1 });
    expect(reader.inForce).to.include({ version: 3, config: "c" });
  });

  it("agrees at every reader and never reverts, whatever operators do", () => {
    const step = fc.record({
      lag: fc.integer({ min: 0, max: 3 }),
      isCopy: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 40 }),
        fc.integer({ min: 0, max: 39 }),
        (steps, lateStart) => {
          const truth = createConfigFold<string>();
          const records: Record[] = [];
          let highest = 0;
          for (const [offset, { lag, isCopy }] of steps.entries()) {
            const seen = truth.inForce;
            const record = isCopy && seen !== undefined
              ? carry(seen.publishId, seen.version, truth.asOf)
              : publish(`p${offset}`, Math.max(0, (seen?.version ?? 0) - lag));
            records.push(record);
            truth.apply(record, { offset });
            const version = truth.inForce?.version ?? 0;
            expect(version).to.be.at.least(highest);
            highest = version;
          }
          const late = fold(records, Math.min(lateStart, records.length));
          const other = late.inForce;
          if (!late.isComplete || other === undefined) return;
          expect(other.publishId).to.equal(truth.inForce?.publishId);
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });
});
