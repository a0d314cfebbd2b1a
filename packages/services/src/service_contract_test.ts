import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer as createNetServer } from "node:net";
import process from "node:process";
import { createSystemClock } from "@mangoreach/shared";
import type { EndpointStandin } from "@mangoreach/standins";
import { deriveServiceAnswer, startStageEndpoint } from "@mangoreach/standins";
import { expect } from "chai";
import type { ServiceClient } from "./service_client.ts";
import { createServiceClient } from "./service_client.ts";

const EXTERNAL = process.env.MANGOREACH_SERVICE_URL;
const BODY = '{"notice":1}';

describe("plain service contract", () => {
  const clock = createSystemClock();
  let standin: EndpointStandin;
  let services: ServiceClient;
  let dropped: number;

  beforeEach(async () => {
    dropped = 0;
    standin = await startStageEndpoint({
      clock,
      times: { slots: 2, baseMs: 1, perThousandMs: 0 },
    });
    services = createServiceClient({
      clock,
      onAnswer: () => {},
      onDropped: () => dropped++,
    });
  });

  afterEach(async () => {
    await services.close();
    await standin.stop();
  });

  function call(
    address = EXTERNAL ?? standin.address,
    body = Buffer.from(BODY),
  ) {
    return services.call({
      endpoint: {
        id: "billing-1",
        incarnation: "1",
        pool: "billing",
        place: "odda",
        address,
        state: "live",
      },
      requestId: "handlers/r1",
      stage: "billing",
      attempt: 1,
      path: "notice",
      contentType: "application/json",
      body,
      causalTime: "1.0",
      signal: AbortSignal.timeout(300),
    });
  }

  it("forwards the answer of the service", async () => {
    const reply = await call();
    expect(reply.isOk && JSON.parse(reply.value.text))
      .to.deep.equal(deriveServiceAnswer("notice", BODY));
  });

  const FAULTS = [
    { name: "a lost answer", faults: { loseAnswers: 1 } },
    { name: "a truncated answer", faults: { cutAnswers: 1 } },
    { name: "a failure after it ran", faults: { failures: 1 } },
    { name: "a service that hangs", faults: { hangs: true } },
    { name: "an answer for another request", faults: { wrongEchoes: 1 } },
  ] as const;

  for (const { name, faults } of FAULTS) {
    it(`never reports not_run for ${name}`, async () => {
      Object.assign(standin.faults, faults);
      const reply = await call();
      expect(reply.isErr && reply.error.verdict).to.equal("may_have_run");
      expect(dropped).to.equal("wrongEchoes" in faults ? 1 : 0);
    });
  }

  it("trusts a refusal with not_run", async () => {
    standin.leave();
    const reply = await call();
    expect(reply.isErr && reply.error.verdict).to.equal("not_run");
  });

  // Guards against a part of an answer that is forwarded as whole because the
  // service's connection ended in an orderly way.
  it("claims no more of an answer's end than the connection shows", async () => {
    const ANSWERS = [
      ["application/json", '{"a":1}', "whole"],
      ["application/json; charset=utf-8", '{"a":', "may_have_run"],
      ["text/plain", "part", "unproven"],
    ];
    const found: string[][] = [];
    for (const [type = "", body = ""] of ANSWERS) {
      const server = createServer((_, response) => {
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, { "content-type": type }).end(body);
      });
      await new Promise<void>((resolve) => server.listen(0, resolve));
      const { port } = server.address() as AddressInfo;
      const reply = await call(`127.0.0.1:${port}`);
      server.close();
      const end = reply.isErr
        ? reply.error.verdict
        : reply.value.isUnproven
        ? "unproven"
        : "whole";
      found.push([type, body, end]);
    }
    expect(found).to.deep.equal(ANSWERS);
  });

  /** Answers each call with raw bytes, then ends its connection. */
  async function callRaw(
    text: string,
    { delay, size }: { delay: number; size: number },
  ): Promise<string> {
    const server = createNetServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.pause();
        socket.write(text, () => {
          setTimeout(() => socket.resetAndDestroy(), delay);
        });
      });
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const { port } = server.address() as AddressInfo;
    const reply = await call(`127.0.0.1:${port}`, Buffer.alloc(size));
    server.close();
    return reply.isErr ? reply.error.verdict : "an answer";
  }

  // Guards against a part of an answer that is forwarded because undici takes a
  // reset for the end of the body.
  it("forwards no answer whose connection is reset", async () => {
    const part = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\npart";
    const found: string[] = [];
    for (const size of [10, 4_000_000]) {
      for (const delay of [0, 1, 20]) {
        found.push(await callRaw(part, { delay, size }));
      }
    }
    expect(found).to.deep.equal(found.map(() => "may_have_run"));
  });
});
