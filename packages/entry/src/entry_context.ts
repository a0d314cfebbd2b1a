/**
 * The context shared by the components of an entry.
 *
 * @module
 */
import type { Clock, Logger, Timeline } from "@mangoreach/shared";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { EntrySettings } from "./entry_settings.ts";

/** The context shared by the components of an entry. */
export interface EntryContext {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  timeline: Timeline;
  metrics: EntryMetrics;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  /** Creates a globally unique string. */
  createUniqueText: () => string;
  /** Changes with every start of the process. */
  incarnation: string;
  /** Aborts when the entry stops, which ends its background tasks. */
  signal: AbortSignal;
}
