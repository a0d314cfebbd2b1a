/**
 * A runner as a process of its own: `unframed-runner.mjs ID EVENTS GAP_MS`. Its
 * streams have neither a length nor chunks. It tells its parent its port and
 * what it runs; the parent tells it that it leaves.
 */
import http from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

const [id, events, gapMs] = process.argv.slice(2);
let isLeaving = false;
let running = 0;

async function serve(request, response) {
  for await (const _ of request);
  const requestId = request.headers["x-attempt-id"];
  if (requestId !== undefined) response.setHeader("X-Attempt-Id", requestId);
  if (isLeaving) response.setHeader("Server-Leaving", "1");
  if (request.headers["x-target-instance"] !== id) {
    return void response.writeHead(421, { "X-Instance-Id": id, "X-Not-Executed": "1" }).end();
  }
  const after = Number(request.headers["last-event-id"] ?? 0);
  process.send({ ran: requestId, from: after + 1 });
  running++;
  response.setHeader("X-Response-Seal", `seal.${requestId}`);
  response.setHeader("Content-Type", "text/event-stream");
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  for (let event = after + 1; event <= Number(events) && !response.destroyed; event++) {
    response.write(`id: ${event}\ndata: ${requestId}\n\n`);
    await sleep(Number(gapMs));
  }
  response.end();
  running--;
  process.send({ ended: requestId });
}

const server = http.createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.listen(0, "127.0.0.1", () => process.send({ port: server.address().port }));
process.on("message", (message) => {
  if (message === "leave") isLeaving = true;
});
// Ends with its parent.
process.on("disconnect", () => process.exit(0));
