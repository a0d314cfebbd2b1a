/**
 * Reads answers to HTTP upgrades.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { AnswerInput, AnswerMeter } from "@mangoreach/shared";
import { createAnswerFraming, openMeteredInput } from "@mangoreach/shared";

/** Options of {@linkcode openUpgradeInput}. */
export interface UpgradeInputOptions {
  /** `ip:port`. */
  address: string;
  /** Counts what answers cost; not counted if left out. */
  meter: AnswerMeter | undefined;
  /** Called once if the answer exceeds a limit; the socket is destroyed then. */
  onExceeded: (error: Error) => void;
}

/**
 * Puts an input on a socket that asks for an upgrade: node:http would read
 * provisional answers or empty lines without end. It is to be detached when
 * another protocol begins.
 */
export function openUpgradeInput(
  socket: Socket,
  options: UpgradeInputOptions,
): AnswerInput {
  return openMeteredInput(socket, {
    ...options,
    framing: createAnswerFraming({ method: "GET", isSingle: true }),
  });
}

/** Whether an answer with status 101 switches to the protocol asked for. */
export function isSwitchTo(
  { headers, httpVersion }: Pick<IncomingMessage, "headers" | "httpVersion">,
  protocol: string,
): boolean {
  return httpVersion === "1.1" && headers.upgrade === protocol;
}
