import type { Route } from "@mangoreach/coordination";
import { createEndpointDirectory } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { chooseEndpoint, listUsable } from "./endpoint_choice.ts";
import {
  createTestEndpoint,
  createTestHead,
  createTestRoute,
  createTestState,
  createTestTable,
} from "./test_support.ts";

const RESUMABLE = { kind: "stream", isResumable: true } as const;
const REQUEST = { head: createTestHead(), body: Buffer.alloc(0) };

/** Sends as many requests as there are endpoints; returns where, in order. */
async function listChosen(
  versions: Record<string, string>,
  {
    route = RESUMABLE,
    version,
    before = versions,
    leaving = [],
    servedFor = 0,
  }: {
    route?: Partial<Route>;
    version?: string;
    /** The versions that served before. */
    before?: Record<string, string>;
    /** Ids of the endpoints that have just begun to leave. */
    leaving?: readonly string[];
    /** Time for which the versions have served, in milliseconds. */
    servedFor?: number;
  } = {},
): Promise<string[]> {
  const clock = createFakeClock(0);
  const directory = createEndpointDirectory({
    clock,
    markTtl: 1_000,
    readListAge: () => 0,
  });
  const state = createTestState(clock, { directory });
  const listEndpoints = (present: Record<string, string>) =>
    Object.entries(present).map(([id, named]) =>
      createTestEndpoint(id, {
        version: named,
        state: leaving.includes(id) ? "leaving" : "live",
      })
    );
  state.history.update(listEndpoints(before));
  await clock.advance(10_000);
  state.history.update(listEndpoints(versions));
  directory.replaceAll(listEndpoints(versions));
  await clock.advance(servedFor);
  const testRoute = createTestRoute(route);
  const admitted = {
    route: testRoute,
    table: createTestTable([testRoute]),
    pool: "pool",
    ...(version === undefined ? {} : { version }),
    account: undefined,
    priority: 1,
    rank: 17,
  };
  const avoid: string[] = [];
  for (;;) {
    const chosen = chooseEndpoint(state, { request: REQUEST, admitted, avoid });
    if (chosen === undefined) return avoid;
    avoid.push(chosen.id);
  }
}

describe("choice by version", () => {
  // A stream must not hold events of two versions.
  it("sends a resumed stream to its version only", async () => {
    const versions = { a: "v1", b: "v2", c: "v1" };
    expect(await listChosen(versions, { version: "v1" }))
      .to.deep.equal(["a", "c"]);
  });

  // The last endpoints of a version finish what they get within two seconds.
  it("sends a resumed stream to endpoints that leave if no others stay", () => {
    const clock = createFakeClock(0);
    const directory = createEndpointDirectory({
      clock,
      markTtl: 1_000,
      readListAge: () => 0,
    });
    const state = createTestState(clock, { directory });
    const endpoints = (["live", "leaving", "live"] as const).map(
      (endpointState, index) =>
        createTestEndpoint(`e${index}`, {
          state: endpointState,
          version: `v${Math.ceil(index / 2)}`,
        }),
    );
    state.history.update(endpoints);
    directory.replaceAll(endpoints);
    const listIds = (version?: string) =>
      listUsable(state, {
        pool: "pool",
        ...(version === undefined ? {} : { version }),
      }).map(({ id }) => id);
    expect([listIds(), listIds("v0"), listIds("v1")])
      .to.deep.equal([["e0", "e2"], ["e0"], ["e2"]]);
    directory.replaceAll(endpoints.slice(0, 2));
    expect(listIds("v1")).to.deep.equal(["e1"]);
  });

  // If that endpoint went, the stream could not be resumed.
  it("begins streams last where no other endpoint has the version", async () => {
    const versions = { a: "v1", b: "v2", c: "v2" };
    expect(await listChosen(versions)).to.deep.equal(["b", "c", "a"]);
  });

  // Other entries would take the version before for the only one.
  it("begins no stream at a version that others may not know", async () => {
    const versions = { a: "v2", b: "v2", c: "v1", d: "v1" };
    const before = { c: "v1", d: "v1" };
    const leaving = ["c", "d"];
    const found = await Promise.all([
      listChosen(versions, { before }),
      listChosen(versions, { before, leaving: ["c"] }),
      listChosen(versions, { before, leaving }),
      listChosen(versions, { before, leaving, servedFor: 2_499 }),
      listChosen({ a: "v2" }, { before }),
      listChosen(versions, { before, leaving, servedFor: 2_500 }),
      listChosen(versions, { before, servedFor: 2_500 }),
      listChosen(versions),
    ]);
    expect(found).to.deep.equal([
      ["c", "d"],
      ["d"],
      ["c", "d"],
      [],
      [],
      ["a", "b"],
      ["a", "b", "c", "d"],
      ["a", "b", "c", "d"],
    ]);
  });

  it("sends requests that can't be resumed to any version", async () => {
    const versions = { a: "v1", b: "v2", c: "v2" };
    const found = await Promise.all([
      listChosen(versions, { route: { kind: "stream" } }),
      listChosen(versions, { route: { kind: "idempotent" } }),
    ]);
    expect(found).to.deep.equal([["a", "b", "c"], ["a", "b", "c"]]);
  });
});
