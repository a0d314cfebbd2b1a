import type { ChildProcess } from "node:child_process";
import type { Server } from "node:net";
import { createServer } from "node:net";
import { CALLER_HEADERS, CALLER_PATHS } from "@mangoreach/callers";
import { readServerAddress } from "@mangoreach/shared";
import { expect } from "chai";
import { request } from "undici";
import { DRAFT_TEXT } from "./draft_call.ts";
import { startEntryProcess } from "./entry_process.ts";
import type { LocalSite } from "./local_site.ts";
import { LOCAL_KEYS, startLocalSite } from "./local_site.ts";

const TEST_TIMEOUT_MS = 90_000;
const START_MS = 15_000;
const UPLOADS = 200;
const UPLOAD_BYTES = 4_000_000;
const PART = "bytes of a part";
const STATUSES = ["000", "00", "0000", "600", "999"];
/** Endpoints of each pool that are replaced by ones that break. */
const BROKEN = ["billing-1", "billing-2", "encoder-1", "encoder-2"];
const JSON_ANSWER =
  "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

interface BrokenAnswer {
  text: string;
  /** Until the connection is reset; closed in order if left out. */
  resetAfter?: number;
}

/** Guards against bytes of endpoints that are no answer and reach callers. */
describe("broken answers to a process of mangoreach-entry", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let site: LocalSite;
  let server: Server;
  let child: ChildProcess;
  let callers = "";
  let answer: BrokenAnswer = { text: "" };
  let arrivals = 0;

  beforeEach(async () => {
    site = await startLocalSite({ entries: 0 });
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        const { text, resetAfter } = answer;
        arrivals++;
        // The rest of the request is not read.
        if (resetAfter !== undefined) socket.pause();
        socket.write(text, () => {
          if (resetAfter === undefined) socket.end();
          else if (resetAfter === 0) socket.resetAndDestroy();
          else setTimeout(() => socket.resetAndDestroy(), resetAfter);
        });
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const started = await startEntryProcess(site);
    child = started.child;
    callers = started.addresses.callers!;
    for (const id of BROKEN) {
      await site.putInstance(id, {
        incarnation: "2",
        pool: id.split("-")[0],
        place: "odda",
        address: readServerAddress(server),
        state: "live",
      });
    }
    answer = { text: `HTTP/1.1 200 OK\r\n${JSON_ANSWER}` };
    const until = Date.now() + START_MS;
    // The entry may learn of the endpoints of one pool before those of another.
    const body = JSON.stringify({ text: DRAFT_TEXT });
    for (const kind of ["service", "pipeline"] as const) {
      arrivals = 0;
      while (arrivals === 0 && Date.now() < until) await call(kind, body);
      expect(arrivals, kind).to.be.greaterThan(0);
    }
  });

  afterEach(async () => {
    child.kill("SIGKILL");
    server.close();
    await site.stop();
  });

  /** Returns the answer's status and body; "cut" if it has no proven end. */
  async function call(
    kind: "service" | "pipeline",
    body: string,
  ): Promise<{ status: number; body: string }> {
    const path = kind === "service"
      ? `${CALLER_PATHS.services}billing/notice`
      : `${CALLER_PATHS.pipelines}embed`;
    const reply = await request(`http://${callers}${path}`, {
      method: "POST",
      headers: {
        authorization: `Bearer handlers:${LOCAL_KEYS.handlers}`,
        "content-type": "application/json",
        [CALLER_HEADERS.className]: "rulings",
        [CALLER_HEADERS.deadlineMs]: "2000",
        [CALLER_HEADERS.idempotent]: "true",
      },
      body,
    });
    return { status: reply.statusCode, body: await reply.body.text() };
  }

  /** Lists answers that hold what an endpoint sent, or pass for a success. */
  async function listAccepted(
    broken: BrokenAnswer,
    { kind, body, count }: {
      kind: "service" | "pipeline";
      body: string;
      count: number;
    },
  ): Promise<string[]> {
    const accepted: string[] = [];
    answer = broken;
    arrivals = 0;
    for (let sent = 0; sent < count; sent++) {
      const reply = await call(kind, body);
      const isRefused = reply.status >= 500 && reply.status <= 599 &&
        !reply.body.includes(PART) && reply.body.includes('"verdict"');
      if (!isRefused) {
        accepted.push(`${kind}: ${reply.status} ${reply.body}`);
      }
    }
    return accepted;
  }

  // Guards against a part that passes as whole because its connection was reset
  // while the request was still being written.
  for (const resetAfter of [0, 1, 5]) {
    it(`an early answer is cut if reset after ${resetAfter} ms`, async () => {
      const text = `HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n${PART}`;
      const body = JSON.stringify({ text: "x".repeat(UPLOAD_BYTES) });
      const accepted = await listAccepted({ text, resetAfter }, {
        kind: "service",
        body,
        count: UPLOADS,
      });
      expect(accepted).to.deep.equal([]);
      expect(arrivals).to.be.at.least(UPLOADS);
      expect(child.exitCode ?? child.signalCode).to.equal(null);
    });
  }

  // Guards against statuses that HTTP does not have.
  for (const kind of ["service", "pipeline"] as const) {
    it(`an answer with an invalid status is refused: ${kind}`, async () => {
      const body = JSON.stringify({ text: DRAFT_TEXT });
      for (const status of STATUSES) {
        const text = `HTTP/1.1 ${status} OK\r\n${JSON_ANSWER}`;
        const accepted = await listAccepted({ text }, { kind, body, count: 2 });
        expect(accepted, status).to.deep.equal([]);
        expect(arrivals, status).to.be.greaterThan(0);
      }
    });
  }
});
