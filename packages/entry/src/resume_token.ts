/**
 * Signed tokens with which any entry can resume a stream, so that entries share no
 * stream state. Modified and expired tokens and those of another client account
 * are refused alike, so that a refusal reveals nothing.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { Clock, Millis } from "@mangoreach/shared";
import { parseJson } from "@mangoreach/shared";
import * as z from "zod";

const contentSchema = z.object({
  account: z.string(),
  requestId: z.string(),
  endpointId: z.string(),
  /** `ip:port` of the engine. */
  address: z.string(),
  pool: z.string(),
  place: z.string(),
  incarnation: z.string(),
  streamId: z.string(),
  className: z.string(),
  /** The deadline of the request, milliseconds since the Unix epoch. */
  deadlineAt: z.number(),
  expiresAt: z.number(),
});

/** The content of a token. */
export type ResumeTokenContent = z.infer<typeof contentSchema>;

/** Signs and verifies tokens. */
export interface ResumeTokens {
  sign(content: ResumeTokenContent): string;
  /** Returns the content, or undefined if the token is invalid. */
  check(token: string, account: string): ResumeTokenContent | undefined;
}

/** Options of {@linkcode createResumeTokens}. */
export interface ResumeTokensOptions {
  clock: Clock;
  siteKey: string;
}

const MAX_TOKEN_LENGTH = 2_048;
/** Allowed difference between the clocks of entries. */
const MAX_CLOCK_SKEW: Millis = 2_000;

/** Creates the token signer of a site. */
export function createResumeTokens(
  { clock, siteKey }: ResumeTokensOptions,
): ResumeTokens {
  function computeSignature(payload: string): Buffer {
    return createHmac("sha256", siteKey).update(`resume:${payload}`).digest();
  }

  function sign(content: ResumeTokenContent): string {
    const payload = Buffer.from(JSON.stringify(content)).toString("base64url");
    return `${payload}.${computeSignature(payload).toString("base64url")}`;
  }

  function check(
    token: string,
    account: string,
  ): ResumeTokenContent | undefined {
    if (token.length > MAX_TOKEN_LENGTH) return undefined;
    const [payload, signature, ...rest] = token.split(".");
    if (payload === undefined || signature === undefined) return undefined;
    if (rest.length > 0) return undefined;
    const given = Buffer.from(signature, "base64url");
    const expected = computeSignature(payload);
    if (given.length !== expected.length) return undefined;
    if (!timingSafeEqual(given, expected)) return undefined;
    const text = Buffer.from(payload, "base64url").toString();
    const content = contentSchema.safeParse(parseJson(text));
    if (!content.success || content.data.account !== account) return undefined;
    const isExpired = clock.now() > content.data.expiresAt + MAX_CLOCK_SKEW;
    return isExpired ? undefined : content.data;
  }

  return { sign, check };
}
