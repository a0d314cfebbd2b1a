/**
 * Frames of the connections between entries: a length in four bytes, big-endian,
 * then that many bytes of JSON.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createBodyCollector, parseBoundedJson } from "@mangoreach/shared";

/** Largest frame, without its length; about eight times a full snapshot. */
export const MAX_FRAME_BYTES = 8 * 1_048_576;
const LENGTH_BYTES = 4;

/** Encodes a message; undefined if it is larger than a frame may be. */
export function encodeFrame(message: unknown): Buffer | undefined {
  const text = JSON.stringify(message);
  const length = Buffer.byteLength(text);
  if (length > MAX_FRAME_BYTES) return undefined;
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + length);
  frame.writeUInt32BE(length, 0);
  frame.write(text, LENGTH_BYTES);
  return frame;
}

/** Decodes frames from the chunks of a connection. */
export interface FrameDecoder {
  /** Bytes of an incomplete frame. */
  readonly heldBytes: number;
  /**
   * Calls `onFrame` for each frame that the chunk completes. Returns what is
   * malformed; nothing may be added after that.
   */
  add(chunk: Buffer): string | undefined;
}

/** Creates the decoder of one connection. */
export function createFrameDecoder(
  onFrame: (message: unknown, bytes: number) => void,
): FrameDecoder {
  /** The bytes of an incomplete frame. */
  const collector = createBodyCollector();
  let length = 0;
  /** How many bytes are needed to continue. */
  let needed = LENGTH_BYTES;

  function add(chunk: Buffer): string | undefined {
    length += chunk.length;
    collector.add(chunk);
    // A large frame comes in many chunks, which are joined only once.
    if (length < needed) return undefined;
    const bytes = collector.join();
    collector.clear();
    let at = 0;
    needed = LENGTH_BYTES;
    while (bytes.length - at >= LENGTH_BYTES) {
      const size = bytes.readUInt32BE(at);
      if (size > MAX_FRAME_BYTES) return "a frame is too large";
      needed = LENGTH_BYTES + size;
      if (bytes.length - at < needed) break;
      const text = bytes.toString("utf8", at + LENGTH_BYTES, at + needed);
      const message = parseBoundedJson(text);
      if (message === undefined) return "a frame is not JSON";
      onFrame(message, needed);
      at += needed;
      needed = LENGTH_BYTES;
    }
    length = bytes.length - at;
    if (length > 0) collector.add(bytes.subarray(at));
    return undefined;
  }

  return {
    get heldBytes() {
      return length;
    },
    add,
  };
}
