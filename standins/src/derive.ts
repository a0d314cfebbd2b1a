/**
 * What the stand-ins answer. Every output is derived from its input, so that an
 * answer that is mixed up, cut or doubled shows.
 *
 * @module
 */
import { createHash } from "node:crypto";

const DIGEST_LENGTH = 12;

/** A short digest of any JSON value. */
export function computeDigest(value: unknown): string {
  return createHash("sha256").update(JSON.stringify(value)).digest("hex")
    .slice(0, DIGEST_LENGTH);
}

/** The output of a stage endpoint. */
export interface StageOutput {
  stage: string;
  digest: string;
}

/** Derives the output of a stage from its input. */
export function deriveStageOutput(
  stage: string,
  input: { text: string; previous: unknown },
): StageOutput {
  return { stage, digest: computeDigest([stage, input.text, input.previous]) };
}

/** Derives token `sequence` of the generation for a prompt. */
export function deriveToken(promptDigest: string, sequence: number): string {
  return `${promptDigest.slice(0, 6)}-${sequence} `;
}

/** How many tokens a prompt gets: at least half of the most allowed. */
export function deriveTokenCount(
  promptDigest: string,
  maxTokens: number,
): number {
  const share = parseInt(promptDigest.slice(0, 4), 16) / 0xffff;
  return Math.max(1, Math.round(maxTokens * (0.5 + share / 2)));
}

/** The prompt that an entry makes for an engine. */
export function derivePrompt(text: string, previous: unknown): string {
  return `${JSON.stringify(previous)}\n${text}`;
}

/** A stage of a pipeline, as far as the output depends on it. */
export interface DerivedStage {
  name: string;
  maxTokens?: number | undefined;
}

/** Derives what a whole pipeline must answer. */
export function derivePipelineOutput(
  stages: readonly DerivedStage[],
  text: string,
): unknown {
  let previous: unknown = null;
  for (const { name, maxTokens } of stages) {
    previous = maxTokens === undefined
      ? deriveStageOutput(name, { text, previous })
      : deriveTokens(derivePrompt(text, previous), maxTokens).join("");
  }
  return previous;
}

/** Derives all tokens of the generation for a prompt. */
export function deriveTokens(prompt: string, maxTokens: number): string[] {
  const digest = computeDigest(prompt);
  const count = deriveTokenCount(digest, maxTokens);
  return Array.from({ length: count }, (_, i) => deriveToken(digest, i));
}

/** Derives the answer of a plain service. */
export function deriveServiceAnswer(path: string, body: string) {
  return { path, digest: computeDigest([path, body]) };
}
