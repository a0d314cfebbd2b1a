import { createDataAge } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { admitRequest } from "./request_admission.ts";
import type { ServingState } from "./serving_state.ts";
import {
  createTestHead,
  createTestRoute,
  createTestTable,
} from "./test_support.ts";

const TABLE = createTestTable([
  createTestRoute({ name: "keyed" }),
  createTestRoute({ name: "open", pathPrefix: "/open/", isPublic: true }),
], [
  { name: "one", keys: ["k"], priority: 0 },
  { name: "two", keys: ["l"], priority: undefined },
]);
const MAX_KEY_AGE = 4_000;

describe("admission of requests", () => {
  async function admit(
    head: Parameters<typeof createTestHead>[0],
    { age = 0, hasConfig = true, isBehind = false } = {},
  ) {
    const clock = createFakeClock(0);
    const configAge = createDataAge({ clock, readWallTime: clock.now });
    configAge.recordConfirmed(configAge.readTime());
    await clock.advance(age);
    const state = {
      readTable: () => hasConfig ? TABLE : undefined,
      configAge,
      isBehindPeers: () => isBehind,
      maxKeyAge: MAX_KEY_AGE,
      random: () => 0,
    } as Partial<ServingState> as ServingState;
    const admitted = admitRequest(state, createTestHead(head));
    if (admitted.isErr) return admitted.error.kind;
    const { route, account, priority } = admitted.value;
    return `${route.name} ${account} ${priority}`;
  }

  // The result by key, path and age of the configuration. An entry that was
  // disconnected from the store must not accept a key that may have been
  // revoked, and must not answer "not found" for a route that may be new.
  const CASES = [
    { name: "a known key", head: { key: "k" }, result: "keyed one 0" },
    {
      name: "a key of an account without a priority",
      head: { key: "l" },
      result: "keyed two 1",
    },
    { name: "an unknown key", head: { key: "x" }, result: "unauthorized" },
    { name: "no key", head: {}, result: "unauthorized" },
    {
      name: "no key on a public route",
      head: { target: "/open/x" },
      result: "open undefined 1",
    },
    {
      name: "an unknown route",
      head: { target: "/none/" },
      result: "not_found",
    },
    {
      name: "a known key, stale configuration",
      head: { key: "k" },
      age: MAX_KEY_AGE + 1,
      result: "unavailable",
    },
    {
      name: "an unknown key, stale configuration",
      head: { key: "x" },
      age: MAX_KEY_AGE + 1,
      result: "unavailable",
    },
    {
      name: "an unknown route, stale configuration",
      head: { target: "/none/" },
      age: MAX_KEY_AGE + 1,
      result: "unavailable",
    },
    {
      name: "a public route, stale configuration",
      head: { target: "/open/x" },
      age: MAX_KEY_AGE + 1,
      result: "open undefined 1",
    },
    {
      name: "a known key, a store behind the peers",
      head: { key: "k" },
      isBehind: true,
      result: "unavailable",
    },
    {
      name: "an unknown key, a store behind the peers",
      head: { key: "x" },
      isBehind: true,
      result: "unavailable",
    },
    {
      name: "an unknown route, a store behind the peers",
      head: { target: "/none/" },
      isBehind: true,
      result: "unavailable",
    },
    {
      name: "no configuration",
      head: { key: "k" },
      hasConfig: false,
      result: "unavailable",
    },
  ];
  for (const { name, head, result, ...known } of CASES) {
    it(`${name}: ${result}`, async () => {
      expect(await admit(head, known)).to.equal(result);
    });
  }
});
