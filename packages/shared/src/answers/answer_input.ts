/**
 * Stands between a socket and whoever reads answers from it: the chunks of each
 * read are joined, and a long answer is read in turns.
 *
 * The reader may be node:http, undici or a pipe. All of them get what the socket
 * pushes into its own buffer, so that is where bytes are changed and held up; a
 * stream between the two would cost each read and write two more passes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { AnswerCosts, AnswerMeter } from "../answer_meter.ts";
import type { AnswerFraming, AnswerLimit } from "./answer_framing.ts";
import { answerTurns } from "./answer_turns.ts";

/** An answer that exceeds a limit of what it may cost. */
export class AnswerLimitError extends Error {
  readonly code = "ERR_ANSWER_LIMIT";
  readonly limit: AnswerLimit;

  constructor(limit: AnswerLimit) {
    super(`the answer exceeds the limit of its ${limit.replace("_", " ")}`);
    this.limit = limit;
  }
}

/** Options of {@linkcode openAnswerInput}. */
export interface AnswerInputOptions {
  /** Follows the answers; bytes are passed on unchanged if left out. */
  framing?: AnswerFraming | undefined;
  /** Called once if an answer exceeds a limit; the socket is destroyed then. */
  onExceeded?: (error: AnswerLimitError) => void;
  costs?: AnswerCosts | undefined;
}

/** The input of one socket. */
export interface AnswerInput {
  /**
   * Reads nothing until `resume`. Otherwise parts of one byte, as objects, would
   * be buffered up to a high-water mark that counts their bytes.
   */
  pause(): void;
  resume(): void;
  /** Leaves the socket as it was. */
  detach(): void;
}

/** Bytes that are read of a connection before it waits for its turn. */
const TURN_BYTES = 65_536;
/** What a read costs, in bytes: an object, and a pass through all layers. */
const READ_COST = 4_096;

/** Puts an input on a socket whose answers have not been read. */
export function openAnswerInput(
  socket: Socket,
  { framing, onExceeded, costs }: AnswerInputOptions,
): AnswerInput {
  const push = socket.push;
  const read = socket._read;
  let turnCost = 0;
  /** Whether the answer is long enough to be read in turns. */
  let isLong = false;
  let isResting = false;
  let isPaused = false;
  /** Whether the stream has asked for more than it has got. */
  let isReadWanted = false;

  function pushPart(part: Buffer): boolean {
    const startedAt = isLong ? answerTurns.now() : 0;
    const bytes = readPart(part);
    if (bytes === undefined) return false;
    // Nothing is pushed for a part of a head or chunk, which is to be continued.
    isReadWanted = bytes.length === 0;
    const isWritable = isReadWanted || push.call(socket, bytes);
    if (isLong) answerTurns.spend(answerTurns.now() - startedAt);
    turnCost += Math.max(part.length, READ_COST);
    if (turnCost >= TURN_BYTES) {
      waitTurn();
      return false;
    }
    if (!isPaused || !isWritable) return isWritable;
    // The stream was told to go on, and may not ask again.
    isReadWanted = true;
    return false;
  }

  /** Returns what the reader is to get; undefined if a limit is exceeded. */
  function readPart(part: Buffer): Buffer | undefined {
    costs?.add("bytes", part.length);
    costs?.add("reads", 1);
    if (framing === undefined) return part;
    const { framingBytes, answers } = framing;
    const bytes = framing.read(part);
    costs?.add("framing", framing.framingBytes - framingBytes);
    if (framing.exceeded !== undefined) {
      endExceeded(framing.exceeded);
      return undefined;
    }
    if (framing.answers > answers) costs?.endAnswer();
    return bytes;
  }

  function endExceeded(limit: AnswerLimit): void {
    costs?.exceed(limit);
    const error = new AnswerLimitError(limit);
    onExceeded?.(error);
    socket.destroy(error);
  }

  function readWanted(): void {
    if (isResting || isPaused || !isReadWanted || socket.destroyed) return;
    isReadWanted = false;
    read.call(socket, socket.readableHighWaterMark);
  }

  /** The socket reads no more once this has been called from a push. */
  function waitTurn(): void {
    turnCost = 0;
    isLong = true;
    isResting = true;
    answerTurns.wait(() => {
      isResting = false;
      readWanted();
    });
  }

  socket.push = (chunk: unknown, encoding?: BufferEncoding) =>
    chunk instanceof Buffer
      ? pushPart(chunk)
      : push.call(socket, chunk, encoding);
  socket._read = (size) => {
    isReadWanted = true;
    if (!isResting && !isPaused) read.call(socket, size);
  };

  // A relay may have sent the first bytes together with its own answer.
  if (socket.readableLength > 0) {
    const early = socket.read() as Buffer;
    const bytes = framing?.read(early) ?? early;
    if (bytes.length > 0) socket.unshift(bytes);
  }

  return {
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      readWanted();
    },
    detach() {
      socket.push = push;
      socket._read = read;
      if ((isResting || isPaused) && isReadWanted) {
        read.call(socket, socket.readableHighWaterMark);
      }
    },
  };
}

/**
 * Puts an input on a socket and opens its account, which is closed with the
 * socket.
 */
export function openMeteredInput(
  socket: Socket,
  { address, meter, ...options }: Omit<AnswerInputOptions, "costs"> & {
    /** `ip:port`. */
    address: string;
    meter: AnswerMeter | undefined;
  },
): AnswerInput {
  const costs = meter?.open(address);
  if (costs !== undefined) socket.once("close", costs.endAnswer);
  return openAnswerInput(socket, { ...options, costs });
}
