import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EndpointInfo, EndpointState } from "./endpoint.ts";
import { createEndpointRegistry } from "./endpoint_registry.ts";

function createEndpoint(id: string, state: EndpointState = "live") {
  return { id, incarnation: "1", pool: "p", place: "a", address: id, state };
}

describe("endpoint registry", () => {
  function create() {
    const clock = createFakeClock(0);
    const changes: string[][] = [];
    const registry = createEndpointRegistry({
      clock,
      recoveryGrace: 1_800,
      onChange: (endpoints: readonly EndpointInfo[]) =>
        changes.push(endpoints.map(({ id, state }) => `${id}:${state}`)),
    });
    registry.replaceAll([createEndpoint("e1"), createEndpoint("e2")]);
    const listIds = () => registry.list().map(({ id }) => id);
    return { clock, registry, changes, listIds };
  }

  it("notifies changes, and nothing for a heartbeat", () => {
    const { registry, changes } = create();
    const before = changes.length;
    registry.put(createEndpoint("e1"));
    expect(changes.length).to.equal(before);
    registry.put(createEndpoint("e1", "leaving"));
    expect(changes.at(-1)).to.deep.equal(["e1:leaving", "e2:live"]);
  });

  it("drops an endpoint at once if there was no outage", () => {
    const { registry, listIds } = create();
    registry.remove("e1");
    expect(listIds()).to.deep.equal(["e2"]);
  });

  // An endpoint crashes and restarts under its id. What is learned about an
  // endpoint belongs to its incarnation, so the change must be notified
  // although nothing else changed.
  it("notifies the restart of an endpoint under its id", () => {
    const { registry, changes } = create();
    const before = changes.length;
    registry.put({ ...createEndpoint("e1"), incarnation: "2", startedAt: 2 });
    expect(changes.length).to.equal(before + 1);
  });

  // The restart is read from the store; a reading that a peer made before
  // arrives after it. Applied, it would direct work to the address of the
  // incarnation that is gone, and mark the new one as leaving.
  it("does not apply an older reading to the newer incarnation", () => {
    const { registry } = create();
    const newer = { ...createEndpoint("e1"), incarnation: "2", startedAt: 2 };
    registry.put(newer);
    registry.put({
      ...createEndpoint("e1", "leaving"),
      startedAt: 1,
      address: "old",
    });
    expect(registry.list()[0]).to.deep.equal(newer);
  });

  // A removal is deferred after an outage, and a reading of the previous
  // incarnation arrives late. It says nothing about the endpoint that is gone.
  // If it cancelled the removal, work would go to a dead address until the
  // endpoint was removed again.
  it("does not treat an older reading as a sign of life", async () => {
    const { registry, clock, listIds } = create();
    registry.put({ ...createEndpoint("e1"), incarnation: "2", startedAt: 2 });
    registry.handleUnavailable();
    registry.handleAvailable();
    registry.remove("e1");
    registry.put({ ...createEndpoint("e1"), startedAt: 1 });
    await clock.advance(2_000);
    expect(listIds()).to.deep.equal(["e2"]);
  });

  // The list was unavailable and its leases expired; all endpoints are alive.
  // Removing them would refuse users until the endpoints have registered again,
  // which takes up to two seconds.
  it("keeps endpoints that expired in an outage until they had time to register", async () => {
    const { registry, listIds, clock } = create();
    registry.handleUnavailable();
    await clock.advance(5_000);
    registry.handleAvailable();
    registry.remove("e1");
    registry.remove("e2");
    expect(listIds()).to.deep.equal(["e1", "e2"]);
    await clock.advance(900);
    registry.put(createEndpoint("e1"));
    await clock.advance(1_000);
    expect(listIds()).to.deep.equal(["e1"]);
  });

  // The same outage, but the endpoint had reported that it is leaving: new work
  // sent to it would be cut off.
  it("does not keep an endpoint that was leaving", () => {
    const { registry, listIds } = create();
    registry.put(createEndpoint("e1", "leaving"));
    registry.handleUnavailable();
    registry.handleAvailable();
    registry.remove("e1");
    expect(listIds()).to.deep.equal(["e2"]);
  });

  // After its history was truncated the list is read anew, and lacks the
  // endpoints that left in the meantime.
  it("applies a full reading at once if there was no outage", () => {
    const { registry, listIds } = create();
    registry.replaceAll([createEndpoint("e2"), createEndpoint("e3")]);
    expect(listIds()).to.deep.equal(["e2", "e3"]);
  });

  describe("with a list restored from an older copy", () => {
    const started = (id: string, state: EndpointState = "live") => ({
      ...createEndpoint(id, state),
      startedAt: 1,
    });

    // An endpoint has left, and the copy still contains it. It finishes its
    // work within some seconds; new work would be cut off when it ends.
    it("waits for the registration of an endpoint that it had dropped", () => {
      const { registry, listIds } = create();
      registry.remove("e1");
      registry.handleRestored();
      registry.replaceAll([createEndpoint("e1"), createEndpoint("e2")]);
      expect(listIds()).to.deep.equal(["e2"]);
      registry.put(createEndpoint("e1"));
      expect(listIds()).to.have.members(["e1", "e2"]);
    });

    // Guards against an endpoint that stays unknown for good, as entries that
    // relay the list leave out registrations without a change.
    it("accepts an unknown endpoint whose record does not expire", async () => {
      const { clock, registry, listIds } = create();
      registry.handleRestored();
      registry.replaceAll(["e1", "e2", "e3"].map((id) => createEndpoint(id)));
      expect(listIds()).to.have.members(["e1", "e2"]);
      await clock.advance(5_000);
      expect(listIds()).to.have.members(["e1", "e2", "e3"]);
    });

    it("waits longer while the list is unavailable", async () => {
      const { clock, registry, listIds } = create();
      registry.handleRestored();
      registry.replaceAll(["e1", "e2", "e3"].map((id) => createEndpoint(id)));
      registry.handleUnavailable();
      await clock.advance(8_000);
      expect(listIds()).to.have.members(["e1", "e2"]);
      registry.handleAvailable();
      registry.remove("e3");
      await clock.advance(8_000);
      expect(listIds()).to.have.members(["e1", "e2"]);
    });

    // Guards against requests to an endpoint that an entry has seen leave.
    it("does not accept one that has left before it registers again", async () => {
      const { clock, registry, listIds } = create();
      registry.remove("e1");
      registry.handleRestored();
      registry.replaceAll([createEndpoint("e1"), createEndpoint("e2")]);
      await clock.advance(8_000);
      expect(listIds()).to.deep.equal(["e2"]);
      registry.put(createEndpoint("e1"));
      expect(listIds()).to.have.members(["e1", "e2"]);
    });

    // An endpoint that started in the seconds missing from the copy registers
    // again soon.
    it("keeps an endpoint that the copy lacks for a while", async () => {
      const { clock, registry, listIds } = create();
      registry.handleRestored();
      registry.replaceAll([createEndpoint("e1")]);
      expect(listIds()).to.have.members(["e1", "e2"]);
      await clock.advance(1_900);
      expect(listIds()).to.deep.equal(["e1"]);
    });

    it("does not make a leaving endpoint live again", () => {
      const { registry } = create();
      registry.put(started("e3", "leaving"));
      registry.handleRestored();
      registry.replaceAll(["e1", "e2", "e3"].map((id) => started(id)));
      const states = registry.list().map(({ id, state }) => `${id} ${state}`);
      expect(states).to.include("e3 leaving");
      registry.put({ ...started("e3"), startedAt: 2, incarnation: "2" });
      expect(registry.list().map(({ state }) => state)).to.not.include(
        "leaving",
      );
    });

    it("applies the whole copy if no endpoint was known", () => {
      const { registry, listIds } = create();
      ["e1", "e2"].forEach((id) => registry.remove(id));
      registry.handleRestored();
      registry.replaceAll([createEndpoint("e1")]);
      expect(listIds()).to.deep.equal(["e1"]);
    });
  });
});
