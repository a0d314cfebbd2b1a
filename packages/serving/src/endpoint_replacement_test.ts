import type { EndpointInfo } from "@mangoreach/coordination";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createEndpointReplacement } from "./endpoint_replacement.ts";
import { createTestEndpoint } from "./test_support.ts";

describe("an endpoint whose connection broke", () => {
  const endpoint = createTestEndpoint("e1");
  const next = { ...endpoint, incarnation: "2" };

  /** Lists these endpoints at its address some time after the break. */
  async function listAfter(
    after: number,
    listed: readonly EndpointInfo[],
    isLeaving = false,
  ): Promise<boolean> {
    const clock = createFakeClock(0);
    const replacement = createEndpointReplacement({
      clock,
      listAt: () => clock.now() < after ? [endpoint] : listed,
      isLeaving: () => isLeaving,
      signal: new AbortController().signal,
    });
    const found = replacement.waitForReplacement(endpoint);
    await clock.advance(5_000);
    return found;
  }

  it("is replaced if another is listed in its place soon", async () => {
    expect({
      soon: await listAfter(1_000, [next]),
      late: await listAfter(3_000, [next]),
      gone: await listAfter(100, []),
      beside: await listAfter(100, [endpoint, next]),
      leaving: await listAfter(100, [next], true),
    }).to.deep.equal({
      soon: true,
      late: false,
      gone: false,
      beside: false,
      leaving: false,
    });
  });
});
