import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import type { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Client } from "undici";
import { createHttpClient, readBodyBytes } from "./http_client.ts";

const OK = "HTTP/1.1 200 OK\r\n";
const BIG = 50_000_000;
/** What the kernel buffers for both sides of a loopback connection. */
const KERNEL_BUFFERS = 12_000_000;

/** The baseline: an undici client for each call. */
async function callByUndici(address: string): Promise<string> {
  const client = new Client(`http://${address}`, { pipelining: 0 });
  const { body } = await client.request({
    path: "/",
    method: "POST",
    body: "question",
  });
  const text = await body.text();
  await client.destroy();
  return text;
}

describe("single-use calls", () => {
  const http = createHttpClient({
    connections: "single",
    connectTimeoutMs: 200,
    maxReplyBytes: 1_000,
  });
  let server: Server | undefined;
  let sockets: Socket[] = [];

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    sockets = [];
    server?.close();
  });

  async function listen(serve: (socket: Socket) => void): Promise<string> {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      sockets.push(socket);
      socket.on("error", () => {});
      serve(socket);
    });
    await new Promise<void>((resolve) =>
      server!.listen(0, "127.0.0.1", () => resolve())
    );
    const { address, port } = server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Answers with raw bytes, then runs `end`. */
  function answerRaw(text: string, end: (socket: Socket) => void = () => {}) {
    return listen((socket) =>
      socket.once("data", () => socket.write(text, () => end(socket)))
    );
  }

  async function call(address: string, signal?: AbortSignal) {
    const reply = await http.call({
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

  function callWithUpload(address: string) {
    const body = Buffer.alloc(BIG);
    return http.call({ method: "POST", address, path: "/", body });
  }

  const reset = (socket: Socket) => void socket.resetAndDestroy();
  const close = (socket: Socket) => void socket.end();
  const SIZED = `${OK}Content-Length: 4\r\n\r\nbody`;
  const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n`;
  // Guards against answers that are accepted although they may be truncated, and
  // against whole ones that are lost to a crash after their last byte.
  const ANSWERS = [
    { name: "with a length", text: SIZED, outcome: "body" },
    {
      name: "reset after its length",
      text: SIZED,
      end: reset,
      outcome: "body",
    },
    { name: "in chunks", text: `${CHUNKED}\r\n`, outcome: "body" },
    {
      name: "in chunks, reset after the last",
      text: `${CHUNKED}\r\n`,
      end: reset,
      outcome: "body",
    },
    { name: "with trailers", text: `${CHUNKED}A: b\r\n\r\n`, outcome: "body" },
    { name: "followed by another", text: SIZED + SIZED, outcome: "body" },
    {
      name: "after a provisional one",
      text: `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${SIZED}`,
      outcome: "body",
    },
    { name: "without body", text: `${OK}\r\n`, end: close, outcome: "" },
    ...["gzip", "chunked, gzip", "xchunked", "identity", ""].flatMap((
      coding,
    ) =>
      [close, reset].map((end) => ({
        name: `in the transfer coding "${coding}", ${end.name}`,
        text: `${OK}Transfer-Encoding: ${coding}\r\n\r\nbody`,
        end,
        outcome: "malformed maybe",
      }))
    ),
    {
      name: "in chunks twice",
      text: CHUNKED.replace("chunked", "chunked, chunked") + "\r\n",
      outcome: "malformed maybe",
    },
    ...["042", "600", "999"].map((status) => ({
      name: `whose status is ${status}`,
      text: SIZED.replace("200", status),
      outcome: "malformed maybe",
    })),
    ...["0.9", "2.0"].map((version) => ({
      name: `of version ${version}`,
      text: SIZED.replace("1.1", version),
      outcome: "malformed maybe",
    })),
    {
      name: "of version 1.0",
      text: SIZED.replace("1.1", "1.0"),
      outcome: "body",
    },
    {
      name: "of version 1.0, in chunks",
      text: CHUNKED.replace("1.1", "1.0") + "\r\n",
      outcome: "malformed maybe",
    },
    {
      name: "that is not HTTP",
      text: "SSH-2.0-x\r\n",
      outcome: "malformed maybe",
    },
    {
      name: "that both has a length and is in chunks",
      text: CHUNKED.replace("\r\n", "\r\nContent-Length: 4\r\n") + "\r\n",
      outcome: "malformed maybe",
    },
    {
      name: "that switches protocols",
      text: "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
      outcome: "cut maybe",
    },
    {
      name: "reset in its head",
      text: "HTTP/1.1 200 OK\r\nA:",
      end: reset,
      outcome: "cut maybe",
    },
    { name: "of no byte", text: "", end: reset, outcome: "cut maybe" },
    {
      name: "over the size limit",
      text: `${OK}Content-Length: 1001\r\n\r\n${"x".repeat(1_001)}`,
      outcome: "too_large maybe",
    },
  ];
  for (const { name, text, end, outcome } of ANSWERS) {
    it(`turns an answer ${name} into "${outcome}"`, async () => {
      expect(await call(await answerRaw(text, end))).to.equal(outcome);
    });
  }

  // Every object inherits a member of this name, which is no value of a header.
  it("keeps a header named `constructor`", async () => {
    const address = await answerRaw(
      SIZED.replace("\r\n", "\r\nconstructor: x\r\n"),
    );
    const reply = await http.call({ method: "GET", address, path: "/" });
    expect(reply.isOk && reply.value.headers["constructor"]).to.equal("x");
  });

  it("keeps all values of a repeated header and its order", async () => {
    const address = await answerRaw(
      `${OK}B: 1\r\nContent-Type: x\r\nb: 2\r\nContent-Length: 0\r\n\r\n`,
    );
    const reply = await http.call({ method: "GET", address, path: "/" });
    expect(reply.isOk && Object.entries(reply.value.headers)).to.deep.equal([
      ["b", ["1", "2"]],
      ["content-type", "x"],
      ["content-length", "0"],
    ]);
  });

  it("sends each call on its own connection and closes it", async () => {
    const heads: string[] = [];
    let closed = 0;
    const address = await listen((socket) => {
      socket.once("data", (bytes) => {
        heads.push(bytes.toString());
        socket.write(SIZED);
      });
      socket.once("end", () => closed++);
    });
    await call(address);
    await call(address);
    await sleep(50);
    expect(sockets.length).to.equal(2);
    expect(closed).to.equal(2);
    expect(heads[0]).to.equal(
      `POST / HTTP/1.1\r\nhost: ${address}\r\nconnection: close\r\n` +
        "content-length: 8\r\n\r\nquestion",
    );
  });

  // An endpoint may refuse a request before it has read a long body.
  it("accepts an answer that comes before the body is sent", async () => {
    const address = await listen((socket) => {
      socket.once("data", () => {
        socket.pause();
        socket.write(SIZED);
      });
    });
    const reply = await callWithUpload(address);
    expect(reply.isOk && reply.value.text).to.equal("body");
  });

  // Guards against a part that passes as whole, and against waiting for a write
  // that never ends: the reset comes after the orderly end, or not at all.
  it("cuts an answer whose connection ends before the request is written", async () => {
    const address = await listen((socket) => {
      socket.once("data", () => {
        socket.pause();
        socket.end(`${OK}\r\npart`);
      });
    });
    const reply = await callWithUpload(address);
    expect(reply.isErr && reply.error.kind).to.equal("cut");
  });

  // Guards against whole answers that are cut only because they began early.
  it("accepts an early answer that ends after the request is written", async () => {
    const address = await listen((socket) => {
      let received = 0;
      socket.once("data", () => socket.write(`${OK}\r\nwhole`));
      socket.on("data", ({ length }) => {
        received += length;
        if (received > BIG) socket.end();
      });
    });
    const reply = await callWithUpload(address);
    expect(reply.isOk && reply.value.text).to.equal("whole");
  });

  // A call that is reported as unsent is sent to another endpoint, even if it
  // must not run twice.
  it("reports that nothing was sent if no connection is made in time", async () => {
    // Nothing answers at this address, which is reserved for documentation.
    expect(await call("192.0.2.1:9")).to.match(/^unreachable no$/);
  });

  it("blames no address for a header that HTTP does not permit", async () => {
    const reply = await http.call({
      method: "GET",
      address: await answerRaw(SIZED),
      path: "/",
      headers: ["a", "b\nc"],
    });
    expect(reply.isErr && reply.error.sent).to.equal("maybe");
  });

  it("abandons a call at any moment", async () => {
    const endless = await listen((socket) => {
      socket.write(`${OK}Content-Length: 900\r\n\r\nx`);
    });
    for (const delay of [0, 1, 20]) {
      const controller = new AbortController();
      const reply = call(endless, controller.signal);
      setTimeout(() => controller.abort(), delay);
      expect(await reply).to.match(/^aborted (no|maybe)$/);
    }
    const aborted = AbortSignal.abort();
    expect(await call(endless, aborted)).to.equal("aborted no");
  });

  // A received body must not look complete if its remainder was discarded.
  for (const text of [SIZED, `${OK}\r\nbody`]) {
    it("does not complete an unread body after an abort", async () => {
      const address = await answerRaw(text, close);
      const controller = new AbortController();
      const reply = await http.callStream({
        method: "GET",
        address,
        path: "/",
        signal: controller.signal,
      });
      await sleep(20);
      controller.abort();
      const body = reply.isOk ? reply.value.body : undefined;
      expect(await readBodyBytes(body!, 100)).to.equal(undefined);
    });
  }

  // An error event without a listener would end the process.
  it("survives an abort before anyone listens to the body", async () => {
    const address = await answerRaw(`${OK}\r\npart`);
    const controller = new AbortController();
    const reply = await http.callStream({
      method: "GET",
      address,
      path: "/",
      signal: controller.signal,
    });
    controller.abort();
    await sleep(20);
    expect(reply.isOk && reply.value.body.destroyed).to.equal(true);
  });

  for (const framing of [`Content-Length: ${BIG}\r\n`, ""]) {
    it("stops reading from the endpoint while nobody reads the body", async () => {
      let written = 0;
      const address = await listen((socket) => {
        socket.write(`${OK}${framing}\r\n`);
        const chunk = Buffer.alloc(100_000);
        const fill = () => {
          while (written < BIG) {
            written += chunk.length;
            if (!socket.write(chunk)) return void socket.once("drain", fill);
          }
          socket.end();
        };
        fill();
      });
      const reply = await http.callStream({
        method: "GET",
        address,
        path: "/",
      });
      const body = (reply.isOk ? reply.value.body : undefined) as Readable;
      body.once("data", () => body.pause());
      await sleep(300);
      expect(written).to.be.lessThan(KERNEL_BUFFERS);
      body.resume();
      await new Promise((resolve) => body.once("end", resolve));
      expect(written).to.equal(BIG);
    });
  }

  // Guards against a buffer for each byte up to the high-water mark, which takes
  // hundreds of times what a paused stream is accounted for.
  for (const framing of ["", "Content-Length: 1000\r\n"]) {
    it(`holds few parts of a paused body, ${framing || "no length"}`, async () => {
      let written = 0;
      const address = await answerRaw(`${OK}${framing}\r\nx`, (socket) => {
        socket.setNoDelay(true);
        const timer = setInterval(() => {
          if (++written < 1_000) return void socket.write("x");
          clearInterval(timer);
          socket.end();
        }, 1);
        socket.once("close", () => clearInterval(timer));
      });
      const reply = await http.callStream({
        method: "GET",
        address,
        path: "/",
      });
      const body = (reply.isOk ? reply.value.body : undefined) as Readable;
      let received = 0;
      body.on("data", (part: Buffer) => {
        if (received === 0) body.pause();
        received += part.length;
      });
      while (written < 200) await sleep(10);
      expect(body.readableLength).to.be.lessThan(20);
      body.resume();
      await new Promise((resolve) => body.once("end", resolve));
      expect(received).to.equal(1_000);
    });
  }

  // Entries spend most of their processor time on calls to endpoints.
  it("takes less processor time than an undici client for each call", async () => {
    const address = await answerRaw(SIZED);
    const times = { baseline: 0, call: 0 };
    const measure = async (name: "baseline" | "call", run: typeof call) => {
      const before = process.cpuUsage();
      const outcomes = await Promise.all(
        Array.from({ length: 20 }, () => run(address)),
      );
      const { user, system } = process.cpuUsage(before);
      times[name] += user + system;
      expect(new Set(outcomes)).to.deep.equal(new Set(["body"]));
    };
    for (let round = 0; round < 10; round++) {
      await measure("baseline", callByUndici);
      await measure("call", call);
    }
    expect(times.call / times.baseline).to.be.lessThan(0.95);
  });
});
