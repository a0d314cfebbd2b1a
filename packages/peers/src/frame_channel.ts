/**
 * Sends and receives frames on one socket, with limits for what it buffers and
 * for how long it may be idle. Used by both sides of a connection between
 * entries.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { HeldPart, Millis } from "@mangoreach/shared";
import { recordUse } from "@mangoreach/shared";
import { createFrameDecoder, encodeFrame } from "./frame_codec.ts";

/** Options of {@linkcode openFrameChannel}. */
export interface FrameChannelOptions {
  /** Bytes that were read together with the HTTP head. */
  head: Buffer;
  idleTimeout: Millis;
  /** Whether calls are in progress; the channel is not idle then. */
  isBusy: () => boolean;
  /** The account of the messages that the channel holds. */
  held?: HeldPart | undefined;
  /** Returns what is malformed in the message, if anything. */
  onMessage: (message: unknown, bytes: number) => string | undefined;
  /** Called once, when the socket has closed. */
  onClosed: (fault: ChannelFault | undefined) => void;
}

/** Why this side closed a channel. */
export type ChannelFault = "malformed" | "not_reading";

/** The outcome of sending a message; a number is the size of its frame. */
export type SendOutcome = number | "too_large" | "closed";

/** Sends and receives frames. */
export interface FrameChannel {
  send(message: unknown): SendOutcome;
  /** Adds to the bytes of messages that are worked on, or takes from them. */
  hold(bytes: number): void;
  close(): void;
}

/**
 * A peer that reads nothing while this much is sent to it is frozen or
 * unreachable.
 */
const MAX_BUFFERED_BYTES = 16 * 1_048_576;

/** Closes a socket when it has been idle for the time-out and is not busy. */
export function closeIdleSocket(
  socket: Socket,
  { idleTimeout, isBusy }: Pick<FrameChannelOptions, "idleTimeout" | "isBusy">,
): void {
  // Of the HTTP server, which would close the socket also during calls.
  socket.removeAllListeners("timeout");
  socket.setTimeout(idleTimeout);
  socket.on("timeout", () => {
    // The timer of a socket starts again only when the socket is used.
    if (isBusy()) socket.setTimeout(idleTimeout);
    else socket.destroy();
  });
}

/** Opens a channel on a socket that has been upgraded. */
export function openFrameChannel(
  socket: Duplex,
  { head, idleTimeout, isBusy, held, onMessage, onClosed }: FrameChannelOptions,
): FrameChannel {
  let fault: ChannelFault | undefined;
  const decoder = createFrameDecoder((message, bytes) => {
    // Frames after a malformed one are ignored.
    if (fault !== undefined || socket.destroyed) return;
    if (onMessage(message, bytes) !== undefined) closeFor("malformed");
  });

  function closeFor(reason: ChannelFault): void {
    fault ??= reason;
    socket.destroy();
  }

  /** Of messages that are worked on. */
  let messageBytes = 0;

  function updateHeld(): void {
    held?.set(decoder.heldBytes + messageBytes + socket.writableLength);
  }

  function readChunk(chunk: Buffer): void {
    recordUse(socket, chunk.length);
    if (decoder.add(chunk) !== undefined) closeFor("malformed");
    updateHeld();
  }

  function send(message: unknown): SendOutcome {
    if (socket.destroyed) return "closed";
    const frame = encodeFrame(message);
    if (frame === undefined) return "too_large";
    socket.write(frame);
    if (socket.writableLength > MAX_BUFFERED_BYTES) closeFor("not_reading");
    updateHeld();
    return frame.length;
  }

  if (socket instanceof Socket) {
    socket.setNoDelay(true);
    closeIdleSocket(socket, { idleTimeout, isBusy });
  }
  if (head.length > 0) socket.unshift(head);
  socket.on("data", readChunk);
  // Sockets of an HTTP server stay half open otherwise.
  socket.on("end", () => socket.destroy());
  socket.on("error", () => socket.destroy());
  socket.on("drain", updateHeld);
  socket.once("close", () => {
    held?.release();
    onClosed(fault);
  });
  return {
    send,
    hold(bytes) {
      messageBytes += bytes;
      updateHeld();
    },
    close: () => void socket.destroy(),
  };
}
