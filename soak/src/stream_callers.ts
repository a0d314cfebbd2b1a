/**
 * Callers that resume streams. Each try uses another entry; the connection of a
 * try breaks after some events, unless the entry breaks it before.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { request } from "undici";
import { HEADER } from "../../platform/src/wire_names.ts";
import { CHAT_EVENTS } from "./soak_endpoints.ts";

/** An event as the caller received it. */
export interface ReceivedEvent {
  number: number;
  /** Version of the endpoint that wrote it. */
  version: string;
}

/** One try of a stream. */
export interface StreamTry {
  id: string;
  /** The attempt that it names; undefined if it names none. */
  resumes: string | undefined;
  entry: string;
  sentAt: number;
  endedAt: number;
  /** 0 if the connection failed without a response. */
  status: number;
  /** Whether the caller had events when it sent the try. */
  isResumed: boolean;
  events: readonly ReceivedEvent[];
}

/** A stream over all its tries. */
export interface ObservedStream {
  id: string;
  tries: readonly StreamTry[];
}

/** Options of {@linkcode callStream}. */
export interface StreamCallOptions {
  id: string;
  /** The caller address of each try, in order. */
  entries: readonly string[];
  /** The connection breaks after this number of events of each try. */
  breakAfter: number;
  /** Chooses the attempt that a try names; by default that of the first event. */
  chooseName?: (firstId: string) => string | undefined;
  /** Called before each resumed try. */
  beforeResume?: () => Promise<void>;
}

/** Deadline that callers set for each try. */
export const TRY_DEADLINE_MS = 4_000;

/** Opens a stream and resumes it until it is complete or no entry is left. */
export async function callStream(
  { id, entries, breakAfter, chooseName = (firstId) => firstId, beforeResume }:
    StreamCallOptions,
): Promise<ObservedStream> {
  const tries: StreamTry[] = [];
  let firstId: string | undefined;
  let lastEvent = 0;
  for (const [index, entry] of entries.entries()) {
    if (firstId !== undefined) await beforeResume?.();
    const resumes = firstId === undefined ? undefined : chooseName(firstId);
    const ended = await runTry({
      id: `${id}.${index}`,
      session: Buffer.from(id).toString("hex"),
      resumes,
      entry,
      lastEvent,
      breakAfter: index === entries.length - 1 ? Infinity : breakAfter,
    });
    tries.push(ended);
    const newest = ended.events.at(-1)?.number;
    if (newest !== undefined) firstId ??= ended.id;
    lastEvent = newest ?? lastEvent;
    if (lastEvent >= CHAT_EVENTS) break;
  }
  return { id, tries };
}

async function runTry(
  { id, session, resumes, entry, lastEvent, breakAfter }: {
    id: string;
    /** Hexadecimal; each session has a home among the endpoints. */
    session: string;
    resumes: string | undefined;
    entry: string;
    lastEvent: number;
    breakAfter: number;
  },
): Promise<StreamTry> {
  const events: ReceivedEvent[] = [];
  const sentAt = Date.now();
  let status = 0;
  const resumeHeaders = lastEvent === 0 ? {} : {
    [HEADER.lastEvent]: String(lastEvent),
    ...(resumes === undefined ? {} : { [HEADER.resumes]: resumes }),
  };
  try {
    const { statusCode, body } = await request(`http://${entry}/chat/x`, {
      method: "POST",
      headers: {
        host: "soak.example",
        authorization: "Bearer key-1",
        [HEADER.requestId]: id,
        [HEADER.deadline]: String(TRY_DEADLINE_MS),
        [HEADER.promptParts]: `${session}:100,${session}ff:20`,
        ...resumeHeaders,
      },
      body: "question",
      signal: AbortSignal.timeout(TRY_DEADLINE_MS),
    });
    status = statusCode;
    let text = "";
    for await (const chunk of body) {
      text += String(chunk);
      const end = text.lastIndexOf("\n\n");
      if (statusCode !== 200 || end < 0) continue;
      events.push(...parseEvents(text.slice(0, end)));
      text = text.slice(end + 2);
      if (events.length >= breakAfter) break;
    }
  } catch {
    // The entry broke the connection; what came before counts.
  }
  return {
    id,
    resumes,
    entry,
    sentAt,
    endedAt: Date.now(),
    status,
    isResumed: lastEvent > 0,
    events,
  };
}

/** A block of comments only, which is no event (WHATWG HTML, section 9.2.6). */
const COMMENTS = /^(:.*(\n|$))+$/;

/** Parses complete events, separated by empty lines. */
export function parseEvents(text: string): ReceivedEvent[] {
  const blocks = text.split("\n\n").filter((block) => !COMMENTS.test(block));
  return blocks.map((event) => {
    const [, number = "0", version = ""] =
      /^id: (\d+)\ndata: (\S+)/.exec(event) ??
        [];
    return { number: Number(number), version };
  });
}

/** Describes streams with events of two versions, or not each event once. */
export function listStreamViolations(
  streams: readonly ObservedStream[],
): string[] {
  return streams.flatMap(({ id, tries }) => {
    const events = tries.flatMap((attempt) => attempt.events);
    const versions = new Set(events.map(({ version }) => version));
    const isOrdered = events.every(({ number }, index) => number === index + 1);
    return [
      ...(versions.size > 1
        ? [`${id} holds events of ${[...versions].join(" and ")}`]
        : []),
      ...(isOrdered ? [] : [`${id} has events missing or twice`]),
    ];
  });
}

/** How many tries of one kind were sent and brought an event. */
export interface TryCount {
  sent: number;
  served: number;
}

/** Counts the tries that begin a stream and those that resume one. */
export function countTries(
  streams: readonly ObservedStream[],
): { begun: TryCount; resumed: TryCount } {
  const tries = streams.flatMap((stream) => stream.tries);
  const count = (isResumed: boolean): TryCount => {
    const sent = tries.filter((attempt) => attempt.isResumed === isResumed);
    const served = sent.filter(({ events }) => events.length > 0).length;
    return { sent: sent.length, served };
  };
  return { begun: count(false), resumed: count(true) };
}

/** Minimum number of resumed tries that say something about their share. */
const MIN_RESUMED = 12;
/** Share of the resumed tries that go on, against that of new streams. */
const MIN_RESUMED_SHARE = 0.5;

/**
 * Reports if resumed streams go on much less often than new ones begin. Counts
 * tries sent since `since`, and resumed ones of a version that `lasts`.
 */
export function listLostStreams(
  streams: readonly ObservedStream[],
  { since, lasts }: { since: number; lasts: (version: string) => boolean },
): string[] {
  const sound = streams.map(({ id, tries }) => {
    const version = tries.flatMap(({ events }) => events)[0]?.version;
    const mayGoOn = version !== undefined && lasts(version);
    return {
      id,
      tries: tries.filter(({ sentAt, isResumed }) =>
        sentAt >= since && (!isResumed || mayGoOn)
      ),
    };
  });
  const { begun, resumed } = countTries(sound);
  const isLost = resumed.sent >= MIN_RESUMED &&
    resumed.served / resumed.sent <
      MIN_RESUMED_SHARE * begun.served / begun.sent;
  return isLost
    ? [
      `${resumed.served} of ${resumed.sent} resumed streams went on, ` +
      `${begun.served} of ${begun.sent} new ones began`,
    ]
    : [];
}
