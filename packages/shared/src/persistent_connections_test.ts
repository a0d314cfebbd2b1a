import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { openConnection, setEndConfirmation } from "./connection.ts";
import { createPersistentConnections } from "./persistent_connections.ts";
import { readServerAddress, startServer } from "./http_server.ts";

const LIMITS = {
  maxHeaderBytes: 4_096,
  requestTimeoutMs: 5_000,
  maxConnections: 10,
};

describe("persistent connections", () => {
  it("are replaced after a call without an answer, except those in use", async () => {
    const sockets: Socket[] = [];
    let finishSlow = () => {};
    const server = await startServer((request, response) => {
      if (!sockets.includes(request.socket)) sockets.push(request.socket);
      if (request.url === "/slow") finishSlow = () => void response.end("slow");
      else response.end("fast");
    }, { address: { host: "127.0.0.1", port: 0 }, limits: LIMITS });
    const address = readServerAddress(server);
    const kept = createPersistentConnections({
      keepAlive: 4_000,
      connectTimeout: 1_000,
    });
    const get = async (path: string) => {
      const { body } = await kept.getPool(address).request({
        path,
        method: "GET",
      });
      return await body.text();
    };
    const settle = () => new Promise((resolve) => setTimeout(resolve, 30));

    const slow = get("/slow");
    expect(await get("/fast")).to.equal("fast");
    await settle();
    expect(await get("/fast")).to.equal("fast");
    expect(sockets.length).to.equal(2);
    await settle();
    kept.discard(address);
    expect(await get("/fast")).to.equal("fast");
    expect(sockets.length).to.equal(3);
    finishSlow();
    expect(await slow).to.equal("slow");
    await kept.close();
    server.closeAllConnections();
    server.close();
  });

  // Guards against calls through a peer that the endpoint has asked for a pause,
  // on connections that were open before.
  it("are used for one call if they lead through a peer", async () => {
    const calls = new Map<Socket, number>();
    const server = await startServer((request, response) => {
      calls.set(request.socket, (calls.get(request.socket) ?? 0) + 1);
      response.end("answer");
    }, { address: { host: "127.0.0.1", port: 0 }, limits: LIMITS });
    const address = readServerAddress(server);
    const kept = createPersistentConnections({
      keepAlive: 4_000,
      connectTimeout: 1_000,
      async connect(...parameters) {
        const connection = await openConnection(...parameters);
        if (connection.isOk) {
          setEndConfirmation(connection.value, () => Promise.resolve(true));
        }
        return connection;
      },
    });
    const get = async () => {
      const { body } = await kept.getPool(address).request({
        path: "/",
        method: "GET",
      });
      return await body.text();
    };
    const answers = await Promise.all([get(), get()]);
    for (let call = 0; call < 4; call++) {
      await sleep(30);
      answers.push(await get());
    }
    await kept.close();
    server.closeAllConnections();
    server.close();
    expect(answers).to.deep.equal(Array(6).fill("answer"));
    expect([...calls.values()]).to.deep.equal(Array(6).fill(1));
  });
});
