/**
 * What the parts of an entry share.
 *
 * @module
 */
import type { Clock, Logger, Timeline } from "@mangoreach/shared";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { EntrySettings } from "./entry_settings.ts";

/** What the parts of an entry share. */
export interface EntryContext {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  timeline: Timeline;
  metrics: EntryMetrics;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  /** Returns a text that no process has used before. */
  createUniqueText: () => string;
  /** Changes with every start of the process. */
  incarnation: string;
  /** Aborts when the entry ends; background tasks stop then. */
  signal: AbortSignal;
}
