/**
 * Outputs of the stand-ins. Every output is derived from its input, so that
 * tests detect misrouted, truncated and duplicate responses.
 *
 * @module
 */
import { createHash } from "node:crypto";

const DIGEST_LENGTH = 12;

/** Computes a short digest of a JSON value. */
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

/** Derives the number of generated tokens, at least half of `maxTokens`. */
export function deriveTokenCount(
  promptDigest: string,
  maxTokens: number,
): number {
  const share = parseInt(promptDigest.slice(0, 4), 16) / 0xffff;
  return Math.max(1, Math.round(maxTokens * (0.5 + share / 2)));
}

/** Derives the prompt that an entry sends to an engine. */
export function derivePrompt(text: string, previous: unknown): string {
  return `${JSON.stringify(previous)}\n${text}`;
}

/** A stage of a pipeline, as far as the output depends on it. */
export interface DerivedStage {
  name: string;
  maxTokens?: number | undefined;
}

/** Derives the expected output of a complete pipeline. */
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

/** Derives the response of a plain service. */
export function deriveServiceAnswer(path: string, body: string) {
  return { path, digest: computeDigest([path, body]) };
}
