/**
 * A model runner as a process of its own, which the platform can take away. It
 * streams events of an answer that has no length and ends with its channel.
 *
 * Argument: its id. It reports its address, its runs and the events that it made.
 */
import http from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { createSeal } from "./harness.mjs";

const [id] = process.argv.slice(2);
/** A loaded engine; the sheet allows pauses of 400 ms. */
const EVENT_GAP_MS = 50;

async function serve(request, response) {
  for await (const chunk of request) void chunk;
  if (request.url === "/health") {
    response.writeHead(200, { "x-instance-id": id });
    return void response.end();
  }
  const attempt = request.headers["x-attempt-id"];
  response.setHeader("x-attempt-id", attempt ?? "");
  if (request.headers["x-target-instance"] !== id) {
    response.writeHead(421, { "x-not-executed": "1" });
    return void response.end();
  }
  const events = Number(request.headers["x-token-count"].split(",")[1]) / 3;
  process.send({ kind: "run", attempt, events });
  // No length and no chunks: the channel ends the answer.
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "x-response-seal": createSeal(id, attempt),
    "x-weight-versions": "1",
  });
  for (let event = 1; event <= events; event++) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${attempt}\n\n`);
    process.send({ kind: "event", attempt, event });
    await sleep(EVENT_GAP_MS);
  }
  response.end();
}

const server = http.createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.listen(0, "127.0.0.1", () => {
  process.send({
    kind: "address",
    address: `127.0.0.1:${server.address().port}`,
  });
});
process.on("disconnect", () => process.exit(0));
