/**
 * Parses and formats server-sent events (WHATWG HTML, section 9.2) with the
 * fields `event`, `id` and `data` only.
 *
 * @module
 */

/** One server-sent event. */
export interface ServerSentEvent {
  event: string;
  id: string;
  data: string;
}

/** Parses chunks of text into events and buffers an incomplete event. */
export interface ServerSentEventParser {
  /** Returns the events that `chunk` completes, or "too_large". */
  parse(chunk: string): ServerSentEvent[] | "too_large";
}

/** Maximum length of a valid event, in UTF-16 code units. */
const MAX_EVENT_LENGTH = 1_048_576;

/** Chunks of an incomplete event that are kept before they are joined. */
const MAX_PARTS = 1_024;
const LINE_BREAK = "\n";
const EVENT_END = "\n\n";

/** Creates a parser for one connection. */
export function createServerSentEventParser(): ServerSentEventParser {
  const rest = createTextCollector();

  return {
    parse(chunk) {
      const events: ServerSentEvent[] = [];
      let from = 0;
      // Only new text is searched: an event may come in any number of chunks.
      if (rest.endsWithBreak() && chunk.startsWith(LINE_BREAK)) {
        events.push(parseEvent(rest.take().slice(0, -1)));
        from = 1;
      }
      for (;;) {
        const end = chunk.indexOf(EVENT_END, from);
        if (end < 0) break;
        events.push(parseEvent(rest.take() + chunk.slice(from, end)));
        from = end + EVENT_END.length;
      }
      rest.add(chunk.slice(from));
      return rest.length > MAX_EVENT_LENGTH ? "too_large" : events;
    },
  };
}

/** Text in parts that are joined when it is taken. */
interface TextCollector {
  readonly length: number;
  add(part: string): void;
  /** Returns the text and starts again. */
  take(): string;
  endsWithBreak(): boolean;
}

/** Creates a collector; joins many parts into one, as each takes an object. */
function createTextCollector(): TextCollector {
  let blocks: string[] = [];
  let parts: string[] = [];
  let length = 0;

  return {
    get length() {
      return length;
    },
    add(part) {
      if (part === "") return;
      length += part.length;
      parts.push(part);
      if (parts.length < MAX_PARTS) return;
      blocks.push(parts.join(""));
      parts = [];
    },
    take() {
      if (length === 0) return "";
      const text = [...blocks, ...parts].join("");
      blocks = [];
      parts = [];
      length = 0;
      return text;
    },
    endsWithBreak() {
      const last = parts.at(-1) ?? blocks.at(-1);
      return last?.endsWith(LINE_BREAK) ?? false;
    },
  };
}

/** Formats an event for the wire. `data` must not contain line breaks. */
export function formatServerSentEvent(event: ServerSentEvent): string {
  return `event: ${event.event}\nid: ${event.id}\ndata: ${event.data}\n\n`;
}

function parseEvent(text: string): ServerSentEvent {
  const event = { event: "message", id: "", data: "" };
  for (const line of text.split("\n")) {
    const colon = line.indexOf(":");
    if (colon <= 0) continue;
    const field = line.slice(0, colon);
    const value = line.slice(line[colon + 1] === " " ? colon + 2 : colon + 1);
    if (field === "event" || field === "id" || field === "data") {
      event[field] = value;
    }
  }
  return event;
}
