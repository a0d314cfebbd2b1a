import type { Buffer } from "node:buffer";
import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";
import { expect } from "chai";
import { createHttpClient, readBodyBytes } from "./http_client.ts";

type Ending = "close" | "reset";

/** Answers the first call with raw bytes, then ends the connection. */
async function startRawServer(text: string, ending: Ending): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(text, () => {
        // The reset follows the bytes; both are read before it is seen.
        setImmediate(() =>
          ending === "close" ? socket.end() : socket.resetAndDestroy()
        );
      });
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return server;
}

const UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
const CHUNKED =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
const SIZED = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";

describe("calls over a connection of their own", () => {
  const http = createHttpClient({ connections: "single" });

  after(() => http.close());

  async function read(text: string, ending: Ending) {
    const server = await startRawServer(text, ending);
    const { address, port } = server.address() as AddressInfo;
    const reply = await http.callStream({
      method: "GET",
      address: `${address}:${port}`,
      path: "/",
    });
    const body = reply.isOk
      ? await readBodyBytes(reply.value.body as AsyncIterable<Buffer>, 100)
      : undefined;
    server.close();
    return body?.toString();
  }

  it("takes an answer without length that ends with its connection", async () => {
    expect(await read(UNFRAMED, "close")).to.equal("half");
  });

  // An endpoint crashes in the middle of an answer. The caller would get half
  // of it, framed as complete: the HTTP client takes a reset for the end where
  // the connection is not to be kept.
  for (
    const { name, text, ending } of [
      { name: "without length that is reset", text: UNFRAMED, ending: "reset" },
      { name: "in chunks that is reset", text: CHUNKED, ending: "reset" },
      { name: "in chunks that is closed", text: CHUNKED, ending: "close" },
      { name: "with a length that is reset", text: SIZED, ending: "reset" },
      { name: "with a length that is closed", text: SIZED, ending: "close" },
    ] as const
  ) {
    it(`takes no answer ${name} for whole`, async () => {
      expect(await read(text, ending)).to.equal(undefined);
    });
  }
});
