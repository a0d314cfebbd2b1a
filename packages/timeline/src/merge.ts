/**
 * Merges the timelines of several processes into one in causal order.
 *
 * @module
 */
import type { EventKind, TimelineEvent } from "@mangoreach/shared";
import { compareCausalTimes } from "@mangoreach/shared";

/** Fields that an event must match; absent fields match every event. */
export interface EventFilter {
  request?: string | undefined;
  endpoint?: string | undefined;
  process?: string | undefined;
  kind?: string | undefined;
}

/** Merges timelines; events of one process keep their order. */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  return timelines.flat().sort((a, b) =>
    compareCausalTimes(a.time, b.time) || a.process.localeCompare(b.process)
  );
}

/** Whether an event matches the filter. */
export function matchesFilter(
  event: TimelineEvent,
  filter: EventFilter,
): boolean {
  return matches(event.request, filter.request) &&
    matches(event.endpoint, filter.endpoint) &&
    matches(event.process, filter.process) &&
    matches(event.kind, filter.kind);
}

function matches(value: string | undefined, wanted: string | undefined) {
  return wanted === undefined || value === wanted;
}

const KIND_WIDTH = 21;
const PROCESS_WIDTH = 10;

/**
 * Adds the terminal colour of an event kind to a text, or returns it as it is.
 */
export type Colorize = (kind: EventKind, text: string) => string;

/** Formats an event as an aligned line. */
export function formatEvent(event: TimelineEvent, colorize: Colorize): string {
  const { time, process, kind } = event;
  const at = new Date(time.millis).toISOString().slice(11, 23);
  const counter = time.counter === 0 ? "" : `+${time.counter}`;
  const details = [event.request, event.stage, event.endpoint, event.detail]
    .filter((part) => part !== undefined).join(" ");
  const name = colorize(kind, kind.padEnd(KIND_WIDTH));
  return `${at}${counter.padEnd(4)} ${
    process.padEnd(PROCESS_WIDTH)
  } ${name} ${details}`;
}
