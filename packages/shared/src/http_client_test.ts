import type { Buffer } from "node:buffer";
import { channel } from "node:diagnostics_channel";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { expect } from "chai";
import { createHttpClient, readBodyBytes } from "./http_client.ts";

/** With `reset_at_once` the reset arrives together with the last bytes. */
type Ending = "close" | "reset" | "reset_at_once";

interface RawServer {
  server: Server;
  /** Ends the connection; call it once the client has read the bytes. */
  end(): void;
}

/** Answers the first call with raw bytes and keeps the connection open. */
async function startRawServer(
  text: string,
  ending: Ending,
): Promise<RawServer> {
  let connection: Socket | undefined;
  const server = createServer((socket) => {
    connection = socket;
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(text, () => {
        if (ending === "reset_at_once") socket.resetAndDestroy();
      });
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return {
    server,
    end: () =>
      void (ending === "close"
        ? connection?.end()
        : connection?.resetAndDestroy()),
  };
}

const UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
const CHUNKED =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
const SIZED = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";

describe("calls over single-use connections", () => {
  const http = createHttpClient({ connections: "single" });

  after(() => http.close());

  async function read(text: string, ending: Ending) {
    const { server, end } = await startRawServer(text, ending);
    const { address, port } = server.address() as AddressInfo;
    const reply = await http.callStream({
      method: "GET",
      address: `${address}:${port}`,
      path: "/",
    });
    async function* readAndEnd(body: AsyncIterable<Buffer>) {
      for await (const chunk of body) {
        yield chunk;
        end();
      }
    }
    const body = reply.isOk
      ? await readBodyBytes(
        readAndEnd(reply.value.body as AsyncIterable<Buffer>),
        100,
      )
      : undefined;
    server.close();
    return body?.toString();
  }

  it("accepts an answer without a length that ends with its connection", async () => {
    expect(await read(UNFRAMED, "close")).to.equal("half");
  });

  // Guards against truncated answers that are passed on as complete. An
  // endpoint crashes in the middle of an answer, and undici treats the reset
  // as the end of the body if the connection is not persistent.
  for (
    const { name, text, ending } of [
      { name: "without length that is reset", text: UNFRAMED, ending: "reset" },
      {
        name: "without length that is reset with its last bytes",
        text: UNFRAMED,
        ending: "reset_at_once",
      },
      { name: "in chunks that is reset", text: CHUNKED, ending: "reset" },
      { name: "in chunks that is closed", text: CHUNKED, ending: "close" },
      { name: "with a length that is reset", text: SIZED, ending: "reset" },
      { name: "with a length that is closed", text: SIZED, ending: "close" },
    ] as const
  ) {
    it(`does not treat an answer ${name} as complete`, async () => {
      expect(await read(text, ending)).to.equal(undefined);
    });
  }
});

// The kernel reports an unreachable host for an established connection too, when
// its packets stay unacknowledged. The call was sent by then and may have run.
describe("an error of an established connection", () => {
  for (const code of ["EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"]) {
    it(`does not prove that nothing was sent: ${code}`, async () => {
      const http = createHttpClient({ connections: "single" });
      const sockets: Socket[] = [];
      const recordSocket = (message: unknown) =>
        void sockets.push((message as { socket: Socket }).socket);
      channel("net.client.socket").subscribe(recordSocket);
      const server = createServer((connection) => {
        connection.on("error", () => {});
        connection.once("data", () => {
          const error = new Error(`read ${code}`);
          sockets[0]?.destroy(Object.assign(error, { code, syscall: "read" }));
        });
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", () => resolve())
      );
      const { port } = server.address() as AddressInfo;
      const reply = await http.callStream({
        method: "POST",
        address: `127.0.0.1:${port}`,
        path: "/",
        body: "question",
      });
      channel("net.client.socket").unsubscribe(recordSocket);
      server.close();
      await http.close();
      expect(reply.isErr && [reply.error.kind, reply.error.sent])
        .to.deep.equal(["cut", "maybe"]);
    });
  }
});

describe("heads on persistent connections", () => {
  const LENGTH = "Content-Length: 4\r\n";
  // Guards against calls of the store and of peers that take for an answer what
  // the parser accepts and HTTP does not have.
  for (
    const [name, head] of [
      ["a status of 600", `HTTP/1.1 600 x\r\n${LENGTH}`],
      ["a status of 999", `HTTP/1.1 999 x\r\n${LENGTH}`],
      ["another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n"],
      ["a name with a blank", `HTTP/1.1 200 OK\r\nX Y: 1\r\n${LENGTH}`],
      [
        "a name with a control byte",
        `HTTP/1.1 200 OK\r\nX\x01: 1\r\n${LENGTH}`,
      ],
    ] as const
  ) {
    it(`are refused for ${name}, and the next call is answered`, async () => {
      const http = createHttpClient();
      let count = 0;
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.on("data", () => {
          const sound = `HTTP/1.1 200 OK\r\n${LENGTH}`;
          socket.write(`${count++ === 0 ? head : sound}\r\nbody`);
        });
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", () => resolve())
      );
      const { port } = server.address() as AddressInfo;
      const call = async () => {
        const reply = await http.call({
          method: "GET",
          address: `127.0.0.1:${port}`,
          path: "/",
        });
        return reply.isOk ? reply.value.text : reply.error.kind;
      };
      const outcomes = [await call(), await call()];
      await http.close();
      server.close();
      expect(outcomes).to.deep.equal(["malformed", "body"]);
    });
  }
});
