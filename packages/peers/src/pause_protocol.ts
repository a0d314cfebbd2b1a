/**
 * The message by which an entry tells a peer that an endpoint asked for a pause
 * in an answer that came through this peer.
 *
 * @module
 */
import * as z from "zod";

/** A pause that an endpoint asked for. */
export const pauseReportSchema = z.object({
  endpointKey: z.string(),
  /** Milliseconds for which it accepts nothing. */
  pause: z.number().positive(),
});

/** A pause that an endpoint asked for. */
export type PauseReport = z.infer<typeof pauseReportSchema>;
