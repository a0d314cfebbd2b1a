/**
 * The merge of time lines, for tests.
 *
 * @module
 */
export type { EventFilter, Paint } from "./merge.ts";
export { formatEvent, isWanted, mergeTimelines } from "./merge.ts";
