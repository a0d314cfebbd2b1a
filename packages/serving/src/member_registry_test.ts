import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createMemberRegistry, publishEntry } from "./member_registry.ts";
import type { TopicRecord } from "./platform_interfaces.ts";
import { createTestPeer } from "./test_support.ts";

describe("registry of members", () => {
  // All instances start while the store is unavailable. Each must write its
  // record soon after the store is available again, or the others never
  // discover it.
  it("retries until the store has accepted the record", async () => {
    const clock = createFakeClock(0);
    const writes: number[] = [];
    const faults: string[] = [];
    const announced = publishEntry({
      clock,
      random: () => 0.5,
      signal: new AbortController().signal,
      self: createTestPeer("self"),
      store: {
        publish: () => {
          writes.push(clock.now());
          return Promise.resolve(
            writes.length <= 3 ? Result.err("away") : Result.ok(null),
          );
        },
      },
      onFault: (reason) => faults.push(reason),
    });
    await clock.advance(5_000);
    await announced;
    expect(writes).to.deep.equal([0, 500, 1_000, 1_500]);
    expect(faults).to.deep.equal(["away", "away", "away"]);
  });

  function create() {
    const events: string[] = [];
    const registry = createMemberRegistry({
      decode: ({ value }) =>
        value === "?" ? undefined : createTestPeer(value ?? ""),
      onSnapshot: (records) =>
        events.push(...records.map(({ entry }) => `listed ${entry}`)),
      onJoined: ({ entry }) => events.push(`joined ${entry}`),
    });
    return { registry, events };
  }

  const record = (key: string, value?: string): TopicRecord => ({ key, value });

  it("distinguishes snapshot records from new ones", () => {
    const { registry, events } = create();
    registry.replaceAll([record("a", "a"), record("b", "b")]);
    registry.apply(record("c", "c"));
    registry.apply(record("a", undefined));
    expect(events).to.deep.equal(["listed a", "listed b", "joined c"]);
    expect(registry.listAddresses()).to.deep.equal(["b", "c"]);
  });

  it("ignores a record of another writer", () => {
    const { registry, events } = create();
    registry.replaceAll([record("a", "?"), record("b", "b")]);
    registry.apply(record("b", "?"));
    expect(events).to.deep.equal(["listed b"]);
    expect(registry.listAddresses()).to.deep.equal([]);
  });
});
