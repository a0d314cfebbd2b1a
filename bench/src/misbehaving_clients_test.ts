import type { ChildProcess } from "node:child_process";
import { CALLER_HEADERS, CALLER_PATHS } from "@mangoreach/callers";
import { OPERATOR_PATHS } from "@mangoreach/operators";
import type { ClientForm } from "@mangoreach/standins";
import {
  formatAhead,
  formatChunk,
  formatChunks,
  sendWhole,
  startCrowd,
  watchProcess,
} from "@mangoreach/standins";
import { expect } from "chai";
import { DRAFT_TEXT } from "./draft_call.ts";
import { MAX_BODY_BYTES, startEntryProcess } from "./entry_process.ts";
import type { LocalSite } from "./local_site.ts";
import { LOCAL_KEYS, startLocalSite } from "./local_site.ts";

/** Of a machine. */
const MAX_MEMORY_MB = 350;
const MAX_DESCRIPTORS = 4_100;
/** Of the old space; of a deployment, and one that shows a fault to fewer. */
const HEAP_MB = 150;
const SMALL_HEAP_MB = 48;
const ANSWER_TIMEOUT_MS = 20_000;
const DEADLINE_MS = 60_000;
const CROWD_MS = 5_000;

const AUTHORIZATION = `authorization: Bearer handlers:${LOCAL_KEYS.handlers}`;
const REQUEST_HEAD =
  `POST ${CALLER_PATHS.pipelines}embed HTTP/1.1\r\nhost: a\r\n` +
  `${AUTHORIZATION}\r\n${CALLER_HEADERS.className}: rulings\r\n` +
  `${CALLER_HEADERS.deadlineMs}: ${DEADLINE_MS}\r\n` +
  `${CALLER_HEADERS.idempotent}: true\r\n`;
const ORDINARY_BODY = JSON.stringify({ text: DRAFT_TEXT });
const ORDINARY = `${REQUEST_HEAD}content-length: ${ORDINARY_BODY.length}\r\n` +
  `\r\n${ORDINARY_BODY}`;

function formatGet(path: string, headers = ""): ClientForm {
  return formatAhead(`GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`);
}

interface CrowdCase {
  name: string;
  listener: "callers" | "control";
  connections: number;
  heap: number;
  form: ClientForm;
}

const CASES: readonly CrowdCase[] = [
  {
    name: "bodies in chunks of one byte that stop short of their end",
    listener: "callers",
    connections: 10,
    heap: HEAP_MB,
    form: {
      start: `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n`,
      repeated: formatChunk(1),
      limit: (MAX_BODY_BYTES - 1) * formatChunk(1).length,
    },
  },
  {
    name: "requests without the usual headers, sent ahead, unread",
    listener: "callers",
    connections: 100,
    heap: SMALL_HEAP_MB,
    form: formatGet("/x"),
  },
  {
    name: "sound requests, sent ahead, unread",
    listener: "callers",
    connections: 100,
    heap: SMALL_HEAP_MB,
    form: formatAhead(ORDINARY),
  },
  {
    name: "address lookups, sent ahead, unread",
    listener: "callers",
    connections: 100,
    heap: SMALL_HEAP_MB,
    form: formatGet(CALLER_PATHS.addresses, `${AUTHORIZATION}\r\n`),
  },
  {
    name: "readiness, sent ahead, unread",
    listener: "control",
    connections: 100,
    heap: SMALL_HEAP_MB,
    form: formatGet(OPERATOR_PATHS.ready),
  },
  {
    name: "metrics, sent ahead, unread",
    listener: "control",
    connections: 100,
    heap: SMALL_HEAP_MB,
    form: formatGet(OPERATOR_PATHS.metrics),
  },
];

/** Guards against clients that make an entry hold more than its machine has. */
describe("an entry with clients that do not behave", function () {
  this.timeout(90_000);
  let site: LocalSite;
  let child: ChildProcess;
  let addresses: Record<CrowdCase["listener"], string>;

  async function start(heap = HEAP_MB): Promise<void> {
    site = await startLocalSite({ entries: 0 });
    const started = await startEntryProcess(site, [
      `--max-old-space-size=${heap}`,
    ]);
    child = started.child;
    addresses = started.addresses as typeof addresses;
    await waitUntilServing();
  }

  /** Sends ordinary requests until one is answered. */
  async function waitUntilServing(): Promise<void> {
    const until = Date.now() + ANSWER_TIMEOUT_MS;
    while (Date.now() < until) {
      if (await sendOrdinary() === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect.fail("the entry serves no request");
  }

  afterEach(async () => {
    child.kill("SIGKILL");
    await site.stop();
  });

  function sendOrdinary(): Promise<number | undefined> {
    return sendWhole(addresses.callers, [ORDINARY], ANSWER_TIMEOUT_MS);
  }

  async function checkAfterwards(
    peak: Awaited<ReturnType<typeof watchProcess>>,
  ): Promise<void> {
    if (peak === "ended") return expect.fail("the process ended");
    expect(peak.megabytes).to.be.within(1, MAX_MEMORY_MB);
    expect(peak.descriptors).to.be.within(1, MAX_DESCRIPTORS);
    expect(child.exitCode ?? child.signalCode).to.equal(null);
    expect(await sendOrdinary()).to.equal(200);
  }

  for (const { name, listener, connections, heap, form } of CASES) {
    it(`lives and serves after ${name}`, async () => {
      await start(heap);
      const crowd = startCrowd({
        address: addresses[listener],
        connections,
        form,
      });
      const peak = await watchProcess(child.pid!, CROWD_MS);
      crowd.close();
      await checkAfterwards(peak);
    });
  }

  it("reads one body of 4 MiB in chunks of one byte", async () => {
    await start();
    const parts = [
      `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n`,
      formatChunks(MAX_BODY_BYTES, 1),
    ];
    const [status, peak] = await Promise.all([
      sendWhole(addresses.callers, parts, ANSWER_TIMEOUT_MS),
      watchProcess(child.pid!, CROWD_MS),
    ]);
    // Its bytes are no JSON, which is known only when all have been read.
    expect(status).to.equal(400);
    await checkAfterwards(peak);
  });
});
