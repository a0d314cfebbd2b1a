/**
 * Decides whether an answer is whole that only the end of its connection
 * delimits.
 *
 * A process that ends closes its connections like one that has sent everything,
 * and one run may break off in a process that goes on. So the content has to
 * show its end. JSON does by itself. Events show whether one of them is
 * incomplete; as the break may also fall between two, their endpoint must still
 * be there: one that leaves may be taken away before its last answer has ended.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { EndpointDirectory, EndpointInfo } from "@mangoreach/coordination";
import type {
  BodyDelimiter,
  Clock,
  EventPosition,
  Millis,
} from "@mangoreach/shared";
import {
  createEventBoundary,
  hasJsonEnd,
  isBoundedJson,
  parseJson,
} from "@mangoreach/shared";
import type { EndpointCheck } from "./endpoint_check.ts";
import type { HeaderList } from "./platform_interfaces.ts";

/** What is known of an answer's end. */
export type AnswerEnd =
  | "whole"
  /** Orderly, but the content does not show whether it is whole. */
  | "unproven"
  | "cut";

/** How the content of an answer shows its end. */
export type ContentKind = "events" | "json" | "opaque";

/** What the content of an answer shows by itself. */
export type ContentEnd = "whole" | "between_events" | "unknown" | "cut";

/** An answer that ended in an orderly way. */
export interface EndedAnswer {
  endpoint: EndpointInfo;
  delimiter: BodyDelimiter;
  /** Tells what the content shows; only called if that matters. */
  readContent: () => ContentEnd;
}

/** Options of {@linkcode classifyEnd}. */
export interface AnswerEndOptions {
  clock: Pick<Clock, "sleep">;
  endpointCheck: EndpointCheck;
  directory: Pick<EndpointDirectory, "isLeaving">;
}

/**
 * Classifies the content of an answer by its header `content-type`.
 *
 * @param untyped the kind of an answer without this header
 */
export function classifyContent(
  headers: HeaderList,
  untyped: ContentKind = "opaque",
): ContentKind {
  const header = headers.find(([name]) =>
    name.toLowerCase() === "content-type"
  );
  if (header === undefined) return untyped;
  const type = header[1].split(";")[0]!.trim().toLowerCase();
  if (type === "text/event-stream") return "events";
  return type === "application/json" || type.endsWith("+json")
    ? "json"
    : "opaque";
}

/** Classifies what the position at the end of a stream of events shows. */
export function classifyPosition(position: EventPosition): ContentEnd {
  return position === "between_events" ? position : "cut";
}

/** Classifies what a body shows about its end, which may take long. */
export function classifyBody(body: Buffer, kind: ContentKind): ContentEnd {
  if (kind === "opaque") return "unknown";
  if (kind === "json") return classifyJson(body);
  const boundary = createEventBoundary();
  boundary.push(body);
  return classifyPosition(boundary.readPosition());
}

function classifyJson(body: Buffer): ContentEnd {
  const text = body.toString();
  // The values of 8 MiB may fill the heap. That no list or object is open is
  // enough, as it breaks off inside of one.
  if (!isBoundedJson(text)) return hasJsonEnd(text) ? "whole" : "cut";
  const value = parseJson(text);
  if (value === undefined) return "cut";
  // The first digits of a number are a number too.
  return typeof value === "number" ? "unknown" : "whole";
}

/** A process that ends closes its connections before or after its listener. */
const CONFIRM_DELAY: Millis = 50;

/** Classifies the end of an answer, by its endpoint too where that matters. */
export async function classifyEnd(
  { endpoint, delimiter, readContent }: EndedAnswer,
  { clock, endpointCheck, directory }: AnswerEndOptions,
): Promise<AnswerEnd> {
  if (delimiter !== "connection") return "whole";
  const content = readContent();
  if (content === "whole") return "whole";
  if (content === "cut") return "cut";
  let condition = await endpointCheck.checkCondition(endpoint);
  if (condition === "listening") {
    await clock.sleep(CONFIRM_DELAY);
    condition = await endpointCheck.checkCondition(endpoint);
  }
  if (condition === "listening") {
    return content === "between_events" ? "whole" : "unproven";
  }
  const mayBeWhole = condition === "ended" && content === "unknown" &&
    directory.isLeaving(endpoint);
  return mayBeWhole ? "unproven" : "cut";
}
