/**
 * Replies that go on until their reader closes them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import type { HttpStreamReply } from "@mangoreach/shared";

/** A reply without end. */
export interface EndlessReply {
  reply: HttpStreamReply;
  /** Returns how many bytes were read of it. */
  countRead(): number;
}

/** Creates the next part of a reply. */
export type CreatePart = (index: number) => string;

/** More than any reader may read; ends the reply if one does. */
const ENDLESS_BYTES = 67_108_864;

/** Creates a reply from its parts. */
export function createEndlessReply(
  status: number,
  createPart: CreatePart,
): EndlessReply {
  let readBytes = 0;
  let index = 0;
  const body = new Readable({
    read() {
      const part = Buffer.from(createPart(index++));
      readBytes += part.length;
      this.push(readBytes > ENDLESS_BYTES ? null : part);
    },
  });
  return {
    reply: { status, headers: {}, body, delimiter: "chunks" },
    countRead: () => readBytes,
  };
}

/** Parts of token streams without end, by name. */
export const ENDLESS_TOKENS: Readonly<Record<string, CreatePart>> = {
  "long tokens": (index) => formatToken(index, "x".repeat(10_000)),
  "empty tokens": (index) =>
    Array.from(
      { length: 1_000 },
      (_, offset) => formatToken(1_000 * index + offset, ""),
    ).join(""),
};

/** Parts whose values take twenty times the memory of their text. */
export const createCostlyTokens: CreatePart = (index) =>
  `event: token\nid: ${index}\n` +
  `data: {"text":"","more":[${"{},".repeat(300_000)}{}]}\n\n`;

function formatToken(sequence: number, text: string): string {
  return `event: token\nid: ${sequence}\ndata: {"text":"${text}"}\n\n`;
}
