import type { Server } from "node:http";
import { createServer as createHttpServer } from "node:http";
import type { Server as NetServer, Socket } from "node:net";
import { createServer } from "node:net";
import type { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import {
  confirmEnd,
  createHttpClient,
  openConnection,
  readServerAddress,
} from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { acceptPeerConnections } from "./peer_connection_server.ts";
import { createRouter } from "./peer_procedure.ts";
import type { ConnectForPeer, TunnelFailure } from "./tunnel.ts";
import { createTunnelServer, openTunnel, TUNNEL_PROTOCOL } from "./tunnel.ts";

const OK = "HTTP/1.1 200 OK\r\n";
/** Time in which a peer relays some bytes. */
const RELAYED_MS = 30;
/** More than the kernel buffers on both sides of the peer. */
const UPLOAD_BYTES = 50_000_000;
const UPLOAD_MS = 3_000;

describe("a tunnel through a peer", () => {
  let servers: (NetServer | Server)[] = [];
  let sockets: Socket[] = [];
  /** The peer's side of its connections to entries. */
  let nearSockets: Duplex[] = [];

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    servers.forEach((server) => server.close());
    [servers, sockets, nearSockets] = [[], [], []];
  });

  async function listen<T extends NetServer | Server>(server: T): Promise<T> {
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    return server;
  }

  /** Starts an endpoint that answers with raw bytes, then runs `end`. */
  async function startEndpoint(
    text: string,
    end: (socket: Socket) => void = () => {},
  ): Promise<string> {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      sockets.push(socket);
      socket.on("error", () => {});
      socket.once("data", () => socket.write(text, () => end(socket)));
    });
    return readServerAddress(await listen(server));
  }

  async function startPeer(
    connectForPeer: ConnectForPeer = async ({ address }, signal) => {
      const connection = await openConnection(address, {
        timeout: 500,
        signal,
      });
      return connection.mapErr((): TunnelFailure => "refused");
    },
  ): Promise<string> {
    const server = await listen(createHttpServer());
    const serveTunnel = createTunnelServer(connectForPeer);
    acceptPeerConnections(server as Server, {
      router: createRouter({}),
      isPeer: () => true,
      upgrades: {
        [TUNNEL_PROTOCOL]: (upgrade) => {
          nearSockets.push(upgrade.socket);
          void serveTunnel(upgrade);
        },
      },
    });
    return readServerAddress(server);
  }

  function createClient(peer: string) {
    return createHttpClient({
      connections: "single",
      connect: async (address, { timeout, signal }) => {
        const tunnel = await openTunnel({ id: "i-1", address }, {
          peer,
          connect: openConnection,
          timeout,
          signal,
        });
        return tunnel.mapErr((failure) => ({
          failure: failure === "unavailable" ? "silent" as const : failure,
          message: failure,
        }));
      },
    });
  }

  async function call(peer: string, address: string, signal?: AbortSignal) {
    const reply = await createClient(peer).call({
      method: "POST",
      address,
      path: "/",
      body: "question",
      ...(signal && { signal }),
    });
    return reply.isOk
      ? reply.value.text
      : `${reply.error.kind} ${reply.error.sent}`;
  }

  const ANSWERS = [
    {
      name: "a sized answer",
      text: `${OK}Content-Length: 4\r\n\r\nbody`,
      outcome: "body",
    },
    {
      name: "an answer that ends with its connection",
      text: `${OK}\r\nbody`,
      end: (socket: Socket) => void socket.end(),
      outcome: "body",
    },
    {
      name: "an answer that is reset",
      text: `${OK}\r\nbody`,
      end: (socket: Socket) => void socket.resetAndDestroy(),
      outcome: "cut maybe",
    },
    {
      name: "an answer that is too short",
      text: `${OK}Content-Length: 9\r\n\r\nbody`,
      end: (socket: Socket) => void socket.end(),
      outcome: "cut maybe",
    },
  ];
  for (const { name, text, end, outcome } of ANSWERS) {
    // An answer that was cut behind the peer must not look complete.
    it(`passes on ${name} as "${outcome}"`, async () => {
      const peer = await startPeer();
      expect(await call(peer, await startEndpoint(text, end))).to.equal(
        outcome,
      );
    });
  }

  it("reports that nothing was sent if the endpoint refuses", async () => {
    expect(await call(await startPeer(), "127.0.0.1:1"))
      .to.equal("unreachable no");
  });

  it("reports that nothing was sent if the peer cannot help", async () => {
    const peer = await startPeer(() =>
      Promise.resolve(Result.err("unavailable"))
    );
    expect(await call(peer, "127.0.0.1:1")).to.equal("unreachable no");
    // A peer of a build without tunnels.
    const other = await listen(
      createHttpServer((_, response) => response.writeHead(404).end()),
    );
    expect(await call(readServerAddress(other), "127.0.0.1:1"))
      .to.equal("unreachable no");
  });

  // A caller that has left must not keep an endpoint at work.
  it("closes the endpoint's connection when the call is abandoned", async () => {
    const peer = await startPeer();
    const endpoint = await startEndpoint("");
    const controller = new AbortController();
    const reply = call(peer, endpoint, controller.signal);
    while (sockets.length === 0) await sleep(5);
    const closed = new Promise<void>((resolve) => {
      sockets[0]!.once("end", () => resolve());
      sockets[0]!.once("close", () => resolve());
    });
    await sleep(20);
    controller.abort();
    expect(await reply).to.equal("aborted maybe");
    await closed;
  });

  // Guards against a part of an answer that looks whole because the peer's
  // process ended, which closes its connections in an orderly way.
  it("takes the end of the peer for no end of the answer", async () => {
    const peer = await startPeer();
    const endpoint = await startEndpoint(
      `${OK}\r\nbo`,
      () => void setTimeout(() => nearSockets[0]!.end(), RELAYED_MS),
    );
    expect(await call(peer, endpoint)).to.equal("cut maybe");
  });

  // Guards against a caller who waits for its deadline, as the peer waits for the
  // rest of an upload that the endpoint does not read.
  it("cuts an answer that ends while the request is written", async () => {
    const peer = await startPeer();
    const address = await startEndpoint(`${OK}\r\npart`, (socket) => {
      socket.pause();
      socket.end();
    });
    const signal = AbortSignal.timeout(UPLOAD_MS);
    const reply = await createClient(peer).call({
      method: "POST",
      address,
      path: "/",
      body: Buffer.alloc(UPLOAD_BYTES),
      signal,
    });
    expect(reply.isErr && reply.error.kind).to.equal("cut");
  });

  // Guards against bytes of a server that is no peer and pass as an answer of the
  // endpoint.
  it("takes no other protocol for a tunnel", async () => {
    const peer = await startEndpoint(
      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n" +
        `Upgrade: other\r\n\r\n${OK}Content-Length: 4\r\n\r\nbody`,
    );
    expect(await call(peer, "127.0.0.1:1")).to.equal("unreachable no");
  });

  it("confirms no end twice, and none that it did not see", async () => {
    const peer = await startPeer();
    const endpoint = await startEndpoint("", (socket) => void socket.end());
    const tunnel = await openTunnel({ id: "i-1", address: endpoint }, {
      peer,
      connect: openConnection,
      timeout: 500,
    });
    const socket = tunnel.unwrapOrElse(() => expect.fail("no tunnel"));
    expect(await confirmEnd(socket)).to.equal(false);
    const ended = new Promise((resolve) => socket.once("end", resolve));
    socket.resume().write("question");
    await ended;
    expect([await confirmEnd(socket), await confirmEnd(socket)])
      .to.deep.equal([true, false]);
  });
});
