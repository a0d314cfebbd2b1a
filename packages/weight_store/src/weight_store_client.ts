/**
 * The client of the platform's rate-limited weight store.
 *
 * Wire format: `GET /weights/{name}` answers 200 with
 * `{"name":…,"version":…,"bytes":…}`, 404 for an unknown name, 429 with
 * `retry-after` in seconds above its rate limit.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type { AnswerMeter, Clock, Millis } from "@mangoreach/shared";
import {
  createHttpClient,
  readReplyJson,
  startTimeout,
} from "@mangoreach/shared";
import { Result } from "true-myth";
import * as z from "zod";

const weightInfoSchema = z.object({
  name: z.string(),
  version: z.string(),
  bytes: z.number().int().min(0),
});

/** Metadata of the weights of a model or adapter. */
export type WeightInfo = z.infer<typeof weightInfoSchema>;

/** Options of {@linkcode createWeightStoreClient}. */
export interface WeightStoreClientOptions {
  clock: Clock;
  /** `ip:port`. */
  address: string;
  timeoutMs: Millis;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/** A client of the weight store. */
export interface WeightStoreClient {
  /**
   * Looks up weights; fails as `overloaded` with `retryAfterMs` above the rate
   * limit.
   */
  find(name: string): Promise<Result<WeightInfo, Failure>>;
  close(): Promise<void>;
}

const OK = 200;
const NOT_FOUND = 404;
const TOO_MANY_REQUESTS = 429;
const DEFAULT_RETRY_AFTER: Millis = 1_000;

/** Creates the client; it connects on the first call. */
export function createWeightStoreClient(
  { clock, address, timeoutMs, meter }: WeightStoreClientOptions,
): WeightStoreClient {
  const http = createHttpClient({ meter });

  async function find(name: string): Promise<Result<WeightInfo, Failure>> {
    const timeout = startTimeout(clock, timeoutMs);
    const reply = await http.call({
      method: "GET",
      address,
      path: `/weights/${encodeURIComponent(name)}`,
      signal: timeout.signal,
    });
    timeout.stop();
    if (reply.isErr) {
      return Result.err(createCallFailure("weight store", reply.error));
    }
    const { status, headers } = reply.value;
    if (status === TOO_MANY_REQUESTS) {
      const seconds = Number(headers["retry-after"]);
      return Result.err(createFailure("overloaded", {
        verdict: "not_run",
        message: "weight store: over its rate limit",
        retryAfterMs: seconds > 0 ? seconds * 1_000 : DEFAULT_RETRY_AFTER,
      }));
    }
    if (status === NOT_FOUND) {
      return Result.err(createFailure("not_found", {
        verdict: "not_run",
        message: `weight store: no weights named ${name}`,
      }));
    }
    const body = weightInfoSchema.safeParse(readReplyJson(reply.value));
    if (status === OK && body.success) return Result.ok(body.data);
    return Result.err(createFailure("bad_reply", {
      verdict: "not_run",
      message: `weight store: unusable answer ${status}`,
    }));
  }

  return { find, close: http.close };
}
