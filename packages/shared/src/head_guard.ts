/**
 * Ends calls whose answer never gets to its head, as it comes in pieces for ever.
 * Silence is no fault: whoever works on a call sends nothing meanwhile.
 *
 * @module
 */
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Millis } from "./clock.ts";

/** A head is sent at once; its segments come within this time. */
const SEGMENTS_TIME: Millis = 500;
/** If more come in this time after it, the head has no end. */
const LATE_TIME: Millis = 500;

/**
 * Watches a call until its head has come; calls `onFault` once at most. Returns
 * a function that ends the watch.
 */
export function watchHead(
  request: ClientRequest,
  onFault: (error: Error) => void,
): () => void {
  /** Whether the segments of a head should have come. */
  let isLate = false;
  let hasLate = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let socket: Socket | undefined;

  function dropSegments(): void {
    clearTimeout(timer);
    timer = undefined;
    isLate = false;
    hasLate = false;
  }

  function stop(): void {
    isStopped = true;
    dropSegments();
    socket?.off("data", handleSegment);
    request.off("socket", handleSocket);
    request.off("information", dropSegments);
  }

  function fail(message: string): void {
    stop();
    onFault(new Error(message));
  }

  function handleSegment(): void {
    // The listener before this one has found the head in the same segment.
    if (isStopped) return;
    hasLate ||= isLate;
    timer ??= setTimeout(handleLate, SEGMENTS_TIME);
  }

  function handleLate(): void {
    isLate = true;
    timer = setTimeout(() => {
      if (hasLate) fail("the head of the answer has no end");
      else dropSegments();
    }, LATE_TIME);
  }

  function handleSocket(connected: Socket): void {
    socket = connected;
    // Behind the listener of node:http, which may have found the head by then.
    socket.on("data", handleSegment);
  }

  request.once("socket", handleSocket);
  // What came before a provisional answer was a whole head.
  request.on("information", dropSegments);
  return stop;
}
