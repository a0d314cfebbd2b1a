/**
 * Forwards a body chunk by chunk without buffering more than a bounded part.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { ResponseEnd } from "./caller_response.ts";

/**
 * The most that this process buffers of a stream whose reader is slow. Node.js
 * reads 64 KiB at once and stops when the body holds its high-water mark of 16
 * KiB, and a response stops accepting chunks at its own of 16 KiB; so both hold
 * less than two reads and two marks, besides the framing of chunks.
 */
export const MAX_BUFFERED_BYTES = 163_840;

/**
 * Passes each chunk to `write` as it arrives; resolves when the body ends. While
 * a promise that `write` returned is pending, nothing is read.
 */
export function forwardChunks(
  body: Readable,
  write: (chunk: Buffer) => Promise<void> | undefined,
): Promise<ResponseEnd> {
  return new Promise((resolve) => {
    body.on("data", (chunk: Buffer) => {
      let writable: Promise<void> | undefined;
      try {
        writable = write(chunk);
      } catch {
        // node:http throws for a head that HTTP does not permit. An exception in
        // a listener would end the process.
        body.destroy();
        return;
      }
      if (writable === undefined) return;
      body.pause();
      void writable.then(() => body.resume());
    });
    body.once("end", () => resolve("complete"));
    body.on("error", () => resolve("cut"));
    // Destroyed before its end, possibly before this call.
    body.once("close", () => resolve("cut"));
    if (body.destroyed) resolve("cut");
  });
}
