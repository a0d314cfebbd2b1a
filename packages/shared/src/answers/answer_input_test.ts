import { Buffer } from "node:buffer";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Result } from "true-myth";
import type { HttpClient } from "../http_client.ts";
import { createHttpClient, readLimitedBody } from "../http_client.ts";
import { createSystemClock } from "../clock.ts";
import { openConnection } from "../connection.ts";
import { createAnswerMeter } from "../answer_meter.ts";
import { createSilentLogger } from "../logger.ts";

const BODY_BYTES = 1_500_000;
const LIMIT = 8_388_608;
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const HEADS = {
  length: `HTTP/1.1 200 OK\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`,
  connection: "HTTP/1.1 200 OK\r\n\r\n",
};

function createBody(): Buffer {
  return Buffer.from(
    Array.from({ length: BODY_BYTES }, (_, index) => index * 7 % 251),
  );
}

function formatChunks(body: Buffer, size: number): Buffer {
  const parts: Buffer[] = [];
  for (let at = 0; at < body.length; at += size) {
    const data = body.subarray(at, at + size);
    parts.push(Buffer.from(`${data.length.toString(16)}\r\n`));
    parts.push(data, Buffer.from("\r\n"));
  }
  return Buffer.concat([...parts, Buffer.from("0\r\n\r\n")]);
}

/** Guards against answers that are read slower than they are sent, or faster. */
describe("the input of answers", function () {
  this.timeout(20_000);
  const body = createBody();
  const meter = createAnswerMeter({
    clock: createSystemClock(),
    logger: createSilentLogger(),
  });
  let server: Server;
  let address = "";
  let write: (socket: Socket) => void = () => {};

  before(async () => {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => write(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => server.close());

  async function openStream(client: HttpClient): Promise<Readable> {
    const reply = await client.callStream({
      method: "GET",
      address,
      path: "/",
    });
    if (reply.isErr) throw new Error(reply.error.message);
    return reply.value.body;
  }

  for (const connections of ["single", "kept"] as const) {
    const client = createHttpClient({ connections, meter });
    after(() => client.close());

    for (
      const [name, text] of Object.entries({
        "with a length": () => [HEADS.length, body],
        "that its connection ends": () => [HEADS.connection, body],
        "in chunks of one byte": () => [CHUNKED, formatChunks(body, 1)],
        "in chunks of 15 bytes": () => [CHUNKED, formatChunks(body, 15)],
        "in large chunks": () => [CHUNKED, formatChunks(body, 100_000)],
      })
    ) {
      it(`passes on an answer ${name}, ${connections}`, async () => {
        write = (socket) => {
          for (const part of text()) socket.write(part);
          if (name.includes("ends")) socket.end();
        };
        const read = await readLimitedBody(await openStream(client), {
          limit: LIMIT,
        });
        if (read.isErr) throw new Error(read.error.fault);
        expect(read.value.bytes.equals(body)).to.equal(true);
      });

      it(`goes on after pauses of its reader: ${name}, ${connections}`, async () => {
        write = (socket) => {
          for (const part of text()) socket.write(part);
          if (name.includes("ends")) socket.end();
        };
        const stream = await openStream(client);
        const parts: Buffer[] = [];
        let count = 0;
        for await (const part of stream as AsyncIterable<Buffer>) {
          parts.push(part);
          if (++count % 10 === 0) await sleep(5);
        }
        expect(Buffer.concat(parts).equals(body)).to.equal(true);
      });
    }

    it(`gives up what costs more than any answer, ${connections}`, async () => {
      const block = formatChunks(Buffer.alloc(20_000, "x"), 1).subarray(0, -5);
      write = (socket) => {
        socket.write(CHUNKED);
        const writeNext = () => {
          if (socket.destroyed) return;
          if (socket.write(block)) setImmediate(writeNext);
          else socket.once("drain", writeNext);
        };
        writeNext();
      };
      const limited = meter.exceeded.get("framing") ?? 0;
      const read = await readLimitedBody(await openStream(client), {
        limit: LIMIT,
      });
      expect(read.isErr && read.error.fault).to.equal("too_large");
      expect(meter.exceeded.get("framing")).to.equal(limited + 1);
    });
  }

  // Guards against warnings of a connection that is merely used for long.
  it("finds no cost in many short answers on a connection", async () => {
    const lines: string[] = [];
    const logger = createSilentLogger();
    const counting = createAnswerMeter({
      clock: createSystemClock(),
      logger: { ...logger, warn: (line) => void lines.push(line) },
    });
    const client = createHttpClient({ meter: counting });
    write = (socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    // A pool of connections shares them.
    for (let call = 0; call < 10_000; call++) {
      await client.call({ method: "GET", address, path: "/" });
    }
    await client.close();
    for (let turn = 0; turn < 200 && counting.totals.size === 0; turn++) {
      await sleep(5);
    }
    expect(counting.totals.get("reads")).to.be.at.least(10_000);
    expect(lines).to.deep.equal([]);
  });

  // Guards against bytes that miss the framing: a relay's answer and the first of
  // the server may come in one read.
  it("reads what came before it", async () => {
    const early = Buffer.from(`${CHUNKED}5\r\nearly\r\n`);
    const client = createHttpClient({
      connections: "single",
      async connect(target, options) {
        const connection = await openConnection(target, options);
        if (connection.isOk) connection.value.unshift(early);
        return connection;
      },
    });
    write = (socket) => socket.write("1\r\n \r\n4\r\nlate\r\n0\r\n\r\n");
    const reply = await client.call({ method: "GET", address, path: "/" });
    expect(reply.map(({ text }) => text)).to.deep.equal(
      Result.ok("early late"),
    );
  });

  // Guards against a server that sends empty lines without end, slowly.
  it("lets a call fail whose answer never begins", async () => {
    const client = createHttpClient({ connections: "single" });
    write = (socket) => {
      const timer = setInterval(() => socket.write("\r\n"), 50);
      socket.once("close", () => clearInterval(timer));
    };
    const reply = await client.call({ method: "GET", address, path: "/" });
    expect(reply.isErr).to.equal(true);
  });
});
