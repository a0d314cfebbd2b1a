/**
 * Traits of a request by which the cause of crashes is recognised: its content
 * as a whole, and the parts of its prompt that other requests may share.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { PromptPart } from "./engine_selector.ts";

const PART_PREFIX = "part:";
/** In no digest and no id. */
const SEPARATOR = "+";
/** Parts that are told apart; a prompt has two or three. */
const MAX_PARTS = 8;
/** Longer ids are replaced by their digest. */
const MAX_ID_LENGTH = 32;
const DIGEST_LENGTH = 22;

/** Lists the traits of a prompt: its parts but the last, which no other has. */
export function listPartTraits(parts: readonly PromptPart[]): string[] {
  const shared = parts.slice(0, -1).slice(0, MAX_PARTS);
  return [...new Set(shared.map(({ id }) => PART_PREFIX + formatId(id)))];
}

function formatId(id: string): string {
  const isPlain = id.length <= MAX_ID_LENGTH && !id.includes(SEPARATOR);
  if (isPlain) return id.toLowerCase();
  return createHash("sha256").update(id).digest("base64url")
    .slice(0, DIGEST_LENGTH);
}

/** Whether a trait is a part of a prompt. */
export function isPartTrait(trait: string): boolean {
  return trait.startsWith(PART_PREFIX);
}

/** Formats a set of traits, which requests must have all. */
export function formatTraits(traits: readonly string[]): string {
  return [...traits].sort().join(SEPARATOR);
}

/** The inverse of {@linkcode formatTraits}. */
export function parseTraits(text: string): string[] {
  return text.split(SEPARATOR);
}
