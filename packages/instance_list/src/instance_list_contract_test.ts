import process from "node:process";
import { createHttpClient, createSystemClock } from "@mangoreach/shared";
import type { Standin } from "@mangoreach/standins";
import {
  BAD_REPLIES,
  startInstanceList,
  startScriptedServer,
} from "@mangoreach/standins";
import { expect } from "chai";
import { createInstanceListClient } from "./instance_list_client.ts";

const EXTERNAL = process.env.MANGOREACH_INSTANCE_LIST_URL;
const ENTRY = {
  incarnation: "1",
  pool: "encoder",
  place: "odda",
  address: "127.0.0.1:1",
  state: "live",
};

describe("instance list contract", () => {
  const clock = createSystemClock();

  function createClient(address: string) {
    return createInstanceListClient({
      clock,
      address: EXTERNAL ?? address,
      timeoutMs: 300,
    });
  }

  async function put(standin: Standin, id: string) {
    const http = createHttpClient();
    await http.call({
      method: "PUT",
      address: standin.address,
      path: `/instances/${id}`,
      body: JSON.stringify(ENTRY),
    });
    await http.close();
  }

  it("lists instances, and reports that nothing has changed", async () => {
    const standin = await startInstanceList({ clock, lagMs: 0 });
    await put(standin, "encoder-1");
    const list = createClient(standin.address);
    const first = await list.read(-1);
    const version = first.isOk ? first.value?.version ?? -1 : -1;
    expect(first.isOk && first.value?.instances).to.deep.equal([
      { ...ENTRY, id: "encoder-1" },
    ]);
    const again = await list.read(version);
    expect(again.isOk && again.value).to.equal(undefined);
    await list.close();
    await standin.stop();
  });

  it("lists a change only after the lag", async () => {
    const standin = await startInstanceList({ clock, lagMs: 60_000 });
    await put(standin, "encoder-1");
    const list = createClient(standin.address);
    const snapshot = await list.read(-1);
    expect(snapshot.isOk && snapshot.value?.instances).to.deep.equal([]);
    await list.close();
    await standin.stop();
  });

  for (const { name, reply } of BAD_REPLIES) {
    it(`turns ${name} into a typed error`, async () => {
      const server = await startScriptedServer(reply);
      const list = createInstanceListClient({
        clock,
        address: server.address,
        timeoutMs: 300,
      });
      expect((await list.read(-1)).isErr).to.equal(true);
      await list.close();
      await server.stop();
    });
  }
});
