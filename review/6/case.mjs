/**
 * All entries are killed at the same moment while callers receive streams of a
 * pool with one software version. The callers take the streams up again.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS, createFolder, createId, createManifest, HAS_TROUBLE, record, runCase,
  sleep, startEntries, startRunner, startStore,
} from "../lib-2/site.mjs";
import { createStreamServer, describeTry, tryStream } from "../lib-2/streams.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const STREAMS = 20;
const EVENTS = 60;
const GAP_MS = 200;
const DEADLINE_MS = 15_000;
const PATH = "/utkast/sak";
/** The kill comes this long after the first stream began. */
const KILL_AFTER_MS = 2_000;
/** The platform starts a process again after a short delay. */
const RESTART_MS = 1_000;
const MAX_TRIES = 6;
const RETRY_MS = 2_000;

/** A caller: begins a stream, and takes it up again until it is complete. */
async function callStream(entries, { stream, tries }) {
  const deadlineAt = Date.now() + DEADLINE_MS;
  const prompt = createId();
  let first;
  let lastEvent = 0;
  for (let count = 0; count < MAX_TRIES && Date.now() < deadlineAt - 500; count++) {
    const running = entries.filter(({ isUp }) => isUp);
    const entry = running[Math.floor(Math.random() * running.length)];
    if (entry !== undefined) {
      const id = createId();
      const end = await tryStream(entry, {
        path: PATH, id, prompt, deadlineMs: deadlineAt - Date.now(), lastEvent, resumes: first,
        onEvent: ({ number }) => {
          first ??= id;
          lastEvent = number;
        },
      });
      record(describeTry(end));
      tries.push({ ...end, stream });
      if (lastEvent >= EVENTS) return true;
      // A caller honours Retry-After, and waits between tries without it.
      await sleep(Math.max(RETRY_MS, end.retryAfterMs ?? 0));
    } else await sleep(RETRY_MS);
  }
  return false;
}

await runCase(FOLDER, async () => {
  const folder = createFolder();
  const store = await startStore();
  const serve = createStreamServer({ events: EVENTS, gapMs: GAP_MS });
  const runners = [];
  for (let index = 1; index <= 4; index++) {
    runners.push(await startRunner(store, { id: `i-llm-${index}`, service: "llm-fleet", version: "v1", serve }));
  }
  store.publish(createManifest({
    routes: [{
      name: "utkast", host: "jepu9.example", pathPrefix: "/utkast/", kind: "stream", sticky: true, resumable: true,
      targetGapMs: 400, timeoutMs: DEADLINE_MS, targetLatencyMs: 1_900, service: "llm-fleet", maxAttempts: 2,
    }],
    services: [{ name: "llm-fleet", engine: { slots: 64, kvCapacity: 328_764, models: [{ name: "m" }] } }],
  }));
  const entries = await startEntries(store, 3, folder);
  await sleep(4_000);

  const tries = [];
  const streams = [];
  for (let count = 0; count < STREAMS; count++) {
    streams.push(callStream(entries, { stream: count, tries }));
    await sleep(50);
  }
  await sleep(KILL_AFTER_MS);
  if (HAS_TROUBLE) {
    entries.forEach((entry) => entry.kill("SIGKILL"));
    await sleep(RESTART_MS);
    entries.forEach((entry) => entry.start());
    await Promise.all(entries.map((entry) => entry.waitUntilReady()));
    await sleep(BOUNDS.stableWindowMs);
  }
  // New streams begin meanwhile.
  const newTries = [];
  const fresh = [];
  for (let count = 0; count < STREAMS; count++) {
    fresh.push(callStream(entries, { stream: count, tries: newTries }));
    await sleep(100);
  }
  const completed = (await Promise.all(streams)).filter(Boolean).length;
  await Promise.all(fresh);

  const isInTouch = ({ sentAt, entry }) => sentAt - entry.startedAt >= BOUNDS.stableWindowMs;
  /** For each stream with such a try, whether one of them brought an event. */
  function judge(list, isResumed) {
    const byStream = new Map();
    for (const one of list) {
      if (one.isResumed !== isResumed || !isInTouch(one)) continue;
      byStream.set(one.stream, (byStream.get(one.stream) ?? false) || one.events.length > 0);
    }
    const served = [...byStream.values()].filter(Boolean).length;
    return { count: byStream.size, served, share: byStream.size === 0 ? 1 : served / byStream.size };
  }
  const taken = judge(tries, true);
  const begun = judge(newTries, false);
  const summary = `${completed} of ${STREAMS} streams completed; taken up at machines in touch: ` +
    `${taken.count}, of which ${taken.served} go on; new streams: ${begun.count}, of which ${begun.served} begin`;
  record(summary);
  console.log(summary);
  return taken.count >= 12 && taken.share < begun.share / 2;
});
