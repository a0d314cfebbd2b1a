/**
 * Merging, filtering and formatting of timelines.
 *
 * @module
 */
export type { Colorize, EventFilter } from "./merge.ts";
export { formatEvent, matchesFilter, mergeTimelines } from "./merge.ts";
