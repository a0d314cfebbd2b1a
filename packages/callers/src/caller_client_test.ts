import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";
import { createSystemClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createCallerClient } from "./caller_client.ts";
import { CALLER_HEADERS } from "./caller_protocol.ts";

describe("the client of callers", () => {
  let server: Server | undefined;

  afterEach(() => void server?.close());

  /** Starts an entry that answers each service call with raw bytes. */
  async function startEntry(answer: string): Promise<string> {
    let address = "";
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", (data) => {
        if (String(data).startsWith("POST")) return void socket.end(answer);
        const body = JSON.stringify({
          addresses: [{ entry: "e", place: "p", address, binding: "b" }],
          keep_ms: 1_000,
          ask_again_ms: 500,
        });
        socket.end(
          "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" +
            `content-length: ${body.length}\r\n\r\n${body}`,
        );
      });
    });
    await new Promise<void>((resolve) => server!.listen(0, resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return address;
  }

  // Guards against a part of a service's answer that is returned as a success
  // without a body.
  it("returns no answer that may be a part", async () => {
    const head = `HTTP/1.1 200 OK\r\n${CALLER_HEADERS.verdict}: ran\r\n`;
    const answers = [
      `${head}\r\n{"a":1}`,
      `${head}\r\n{"a":`,
      `${head}content-length: 7\r\n\r\n{"a":1}`,
    ];
    const found: unknown[] = [];
    for (const answer of answers) {
      const client = createCallerClient({
        clock: createSystemClock(),
        credentials: { account: "a", key: "k" },
        place: "p",
        knownAddresses: [await startEntry(answer)],
        createUniqueText: () => "u",
      });
      const reply = await client.callService({
        service: "billing",
        path: "notice",
        body: {},
        className: "c",
        deadlineMs: 1_000,
        idempotent: false,
      });
      await client.close();
      server?.close();
      found.push(reply.isOk ? reply.value.body : reply.error.verdict);
    }
    expect(found).to.deep.equal([{ a: 1 }, "may_have_run", { a: 1 }]);
  });
});
