import { Buffer } from "node:buffer";
import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { EndpointInfo } from "@mangoreach/coordination";
import {
  createAnswerMeter,
  createSilentLogger,
  createSystemClock,
} from "@mangoreach/shared";
import { expect } from "chai";
import { createEntryMetrics } from "./entry_metrics.ts";
import type { SiteClients } from "./site_clients.ts";
import { createSiteClients } from "./site_clients.ts";

const clock = createSystemClock();
const ignore = () => {};
const identity = { requestId: "r", stage: "s", attempt: 1, causalTime: "1.0" };
const signal = new AbortController().signal;

const CALLS: Record<
  string,
  (clients: SiteClients, endpoint: EndpointInfo) => Promise<unknown>
> = {
  log: ({ log }) => log.append("config", {}),
  "instance list": ({ instanceList }) => instanceList.read(0),
  "weight store": ({ weights }) => weights.find("w"),
  engine: ({ engines }, endpoint) => engines.readLoad(endpoint),
  "engine for its orders": ({ orders }, endpoint) => orders.readState(endpoint),
  stage: ({ stages }, endpoint) =>
    stages.call({
      ...identity,
      endpoint,
      input: { text: "question", previous: null },
      signal,
    }),
  service: ({ services }, endpoint) =>
    services.call({
      ...identity,
      endpoint,
      path: "a",
      contentType: "text/plain",
      body: Buffer.from("question"),
      signal,
    }),
};

describe("the clients of an entry", () => {
  let server: Server;
  let address = "";

  before(async () => {
    // More provisional answers than the limit.
    const answer = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(10);
    server = createServer((socket) => {
      socket.on("error", ignore);
      socket.once("data", () => socket.write(answer));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => void server.close());

  // Guards against a client whose answers cost much without a count or a line.
  for (const [name, call] of Object.entries(CALLS)) {
    it(`count what answers cost: ${name}`, async () => {
      const meter = createAnswerMeter({ clock, logger: createSilentLogger() });
      const metrics = createEntryMetrics("e");
      metrics.setAnswerMeter(meter);
      const settings = {
        logAddress: address,
        instanceListAddress: address,
        weightStoreAddress: address,
        siteKey: "key",
      };
      const clients = createSiteClients(
        { settings, clock } as Parameters<typeof createSiteClients>[0],
        { onAnswer: ignore, onDropped: ignore, meter },
      );
      await call(clients, {
        id: "e",
        incarnation: "e-1",
        pool: "pool",
        place: "p",
        address,
        state: "live",
      });
      await clients.close();
      // Costs are added up when the connection has closed, a turn later.
      const until = clock.now() + 1_000;
      while (meter.totals.size === 0 && clock.now() < until) await sleep(5);
      expect(meter.exceeded.get("provisional_answers")).to.equal(1);
      expect(meter.totals.get("reads")).to.be.at.least(1);
      const text = await metrics.registry.metrics();
      expect(text).to.match(
        /mangoreach_answers_limited_total\{limit="provisional_answers",entry="e"\} 1/,
      );
      expect(text).to.match(
        /mangoreach_answer_costs_total\{cost="reads",entry="e"\} [1-9]/,
      );
    });
  }
});
