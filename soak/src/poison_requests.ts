/**
 * Requests that share a part of their prompt which crashes each endpoint that
 * runs it, and the check that entries refuse them.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { HEADER } from "../../platform/src/wire_names.ts";
import type { ObservedArrival, SentRequest } from "./endpoint_signals.ts";
import { formatParts } from "./soak_callers.ts";
import { POISON_BODY, POISON_PART } from "./soak_endpoints.ts";

const GAP_MS = 600;
const DEADLINE_MS = 2_000;
const ID_PREFIX = "poison-";
const CONTENT_PREFIX = "content-";
/** One in so many has the content. */
const CONTENT_INTERVAL = 3;
/** Crashes after which all entries know the part. */
const CRASHES_TO_KNOW = 5;
/** Requests that may reach endpoints after that. */
const ALLOWED_ARRIVALS = 3;

/** How poison requests are sent. */
export interface PoisonOptions {
  addresses: readonly string[];
  signal: AbortSignal;
  /** Whether one content that crashes endpoints comes again and again, too. */
  hasContent: boolean;
  /** Called with each request as it is sent. */
  onSent: (id: string, sent: SentRequest) => void;
}

/** Sends such requests at the entries in turn until the signal aborts. */
export async function sendPoisonRequests(
  { addresses, signal, hasContent, onSent }: PoisonOptions,
): Promise<void> {
  for (let count = 0; !signal.aborted; count++) {
    const entry = addresses[count % addresses.length]!;
    const isContent = hasContent && count % CONTENT_INTERVAL === 1;
    const id = `${isContent ? CONTENT_PREFIX : ID_PREFIX}${count}`;
    onSent(id, {
      entry,
      sentAt: Date.now(),
      pool: "plain",
      budget: DEADLINE_MS,
    });
    void sendPoisonRequest(entry, {
      id,
      path: isContent ? "/once/content" : `/once/${id}`,
      body: isContent ? POISON_BODY : id,
      parts: formatParts(id, isContent ? [] : [`${POISON_PART}1`]),
    });
    await sleep(GAP_MS);
  }
}

async function sendPoisonRequest(
  address: string,
  sent: { id: string; path: string; body: string; parts: string },
): Promise<void> {
  try {
    const { body } = await request(`http://${address}${sent.path}`, {
      method: "POST",
      headers: {
        host: "soak.example",
        authorization: "Bearer key-1",
        [HEADER.requestId]: sent.id,
        [HEADER.deadline]: String(DEADLINE_MS),
        [HEADER.promptParts]: sent.parts,
      },
      body: sent.body,
      signal: AbortSignal.timeout(DEADLINE_MS),
    });
    await body.dump();
  } catch {
    // Whatever becomes of it, only what endpoints see is judged.
  }
}

/**
 * Reports if such requests go on reaching endpoints from `since` on, when all
 * faults have ended and entries had time to hear of the part.
 */
export function listPoisonViolations(
  arrivals: readonly ObservedArrival[],
  since: number,
): string[] {
  const reached = arrivals.filter(({ requestId }) =>
    requestId.startsWith(ID_PREFIX)
  );
  const before = reached.filter(({ at }) => at < since).length;
  const after = reached.length - before;
  const allowed = ALLOWED_ARRIVALS + Math.max(0, CRASHES_TO_KNOW - before);
  return after > allowed
    ? [
      `${after} requests with a part that crashes endpoints reached them after ` +
      `${before} had`,
    ]
    : [];
}
