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

/** Creates a parser for one connection. */
export function createServerSentEventParser(): ServerSentEventParser {
  let rest = "";
  return {
    parse(chunk) {
      rest += chunk;
      const events: ServerSentEvent[] = [];
      for (;;) {
        const end = rest.indexOf("\n\n");
        if (end < 0) break;
        events.push(parseEvent(rest.slice(0, end)));
        rest = rest.slice(end + 2);
      }
      return rest.length > MAX_EVENT_LENGTH ? "too_large" : events;
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
