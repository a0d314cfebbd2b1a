import process from "node:process";
import { createSystemClock } from "@mangoreach/shared";
import {
  BAD_REPLIES,
  startScriptedServer,
  startWeightStore,
} from "@mangoreach/standins";
import { expect } from "chai";
import { createWeightStoreClient } from "./weight_store_client.ts";

const EXTERNAL = process.env.MANGOREACH_WEIGHT_STORE_URL;

describe("weight store contract", () => {
  const clock = createSystemClock();

  it("finds weights, and returns a retry time above its rate limit", async () => {
    const standin = await startWeightStore({ clock, maxPerSecond: 1 });
    const store = createWeightStoreClient({
      clock,
      address: EXTERNAL ?? standin.address,
      timeoutMs: 300,
    });
    const found = await store.find("drafter");
    expect(found.isOk && found.value.name).to.equal("drafter");
    const refused = await store.find("drafter");
    expect(refused.isErr && refused.error.kind).to.equal("overloaded");
    expect(refused.isErr && refused.error.retryAfterMs).to.equal(1_000);
    await store.close();
    await standin.stop();
  });

  for (const { name, reply } of BAD_REPLIES) {
    it(`turns ${name} into a typed error`, async () => {
      const server = await startScriptedServer(reply);
      const store = createWeightStoreClient({
        clock,
        address: server.address,
        timeoutMs: 300,
      });
      expect((await store.find("drafter")).isErr).to.equal(true);
      await store.close();
      await server.stop();
    });
  }
});
