import type { Server } from "node:http";
import {
  createSystemClock,
  readServerAddress,
  startServer,
} from "@mangoreach/shared";
import { BAD_REPLIES, startScriptedServer } from "@mangoreach/standins";
import { expect } from "chai";
import type { PeerClient } from "./peer_client.ts";
import { createPeerClient } from "./peer_client.ts";
import type { PeerExchange } from "./peer_protocol.ts";
import { createPeerListener } from "./peer_server.ts";

const MESSAGE: PeerExchange = {
  heartbeats: [],
  introductions: [],
  leaving: [],
  known: 0,
};
const OUTCOME_QUERY = { account: "a", id: "i", keepUntil: 1, waitMs: 0 };
const SITE_KEY = "Bearer site-key-of-this-test";

describe("peer contract", () => {
  const clock = createSystemClock();
  let server: Server;
  let peers: PeerClient;

  beforeEach(async () => {
    server = await startServer(
      createPeerListener({
        isPeer: (request) => request.headers.authorization === SITE_KEY,
        handlers: {
          exchange: (message) => message,
          readConfig: () => null,
          handleOutcomeQuery: () => Promise.resolve({ kind: "forbidden" }),
        },
      }),
      {
        address: { host: "127.0.0.1", port: 0 },
        limits: {
          maxHeaderBytes: 16_384,
          requestTimeoutMs: 1_000,
          maxConnections: 10,
        },
      },
    );
    peers = create("site-key-of-this-test");
  });

  afterEach(async () => {
    await peers.close();
    server.closeAllConnections();
    server.close();
  });

  function create(siteKey: string): PeerClient {
    return createPeerClient({ clock, siteKey, timeoutMs: 300 });
  }

  it("transfers exchanges, configurations and outcome queries", async () => {
    const address = readServerAddress(server);
    const exchanged = await peers.exchange(address, MESSAGE);
    expect(exchanged.isOk && exchanged.value).to.deep.equal(MESSAGE);
    const config = await peers.readConfig(address);
    expect(config.isOk && config.value).to.equal(undefined);
    const outcome = await peers.queryOutcome(address, OUTCOME_QUERY);
    expect(outcome.isOk && outcome.value.kind).to.equal("forbidden");
  });

  it("rejects requests without the key of the site", async () => {
    const unauthorized = create("another-key-of-tests");
    const reply = await unauthorized.exchange(
      readServerAddress(server),
      MESSAGE,
    );
    expect(reply.isErr && reply.error.message).to.contain("UNAUTHORIZED");
    await unauthorized.close();
  });

  it("times out when a peer does not answer", async () => {
    const silent = await startScriptedServer({ kind: "silence" });
    const reply = await peers.queryOutcome(silent.address, OUTCOME_QUERY);
    expect(reply.isErr && reply.error.verdict).to.equal("may_have_run");
    await silent.stop();
  });

  for (const { name, reply } of BAD_REPLIES) {
    it(`turns ${name} into a typed error`, async () => {
      const bad = await startScriptedServer(reply);
      expect((await peers.exchange(bad.address, MESSAGE)).isErr).to.equal(true);
      expect((await peers.queryOutcome(bad.address, OUTCOME_QUERY)).isErr)
        .to.equal(true);
      await bad.stop();
    });
  }
});
