/**
 * Reads answers to HTTP upgrades.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Whether an answer with status 101 switches to the protocol asked for. */
export function isSwitchTo(
  { headers, httpVersion }: Pick<IncomingMessage, "headers" | "httpVersion">,
  protocol: string,
): boolean {
  return httpVersion === "1.1" && headers.upgrade === protocol;
}
