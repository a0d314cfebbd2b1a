/**
 * Stand-in of the platform's rate-limited weight store, which has every model.
 *
 * @module
 */
import type { Clock } from "@mangoreach/shared";
import { sendJson } from "@mangoreach/shared";
import { computeDigest } from "./derive.ts";
import type { Standin } from "./standin_server.ts";
import { startStandin } from "./standin_server.ts";

/** Options of {@linkcode startWeightStore}. */
export interface WeightStoreOptions {
  clock: Clock;
  port?: number;
  /** Look-ups per second; others get status 429. */
  maxPerSecond?: number;
}

const DEFAULT_RATE = 5;
const WEIGHT_BYTES = 1_000_000;

/** Starts the weight store. */
export function startWeightStore(
  { clock, port = 0, maxPerSecond = DEFAULT_RATE }: WeightStoreOptions,
): Promise<Standin> {
  let windowStart = clock.now();
  let reads = 0;
  return startStandin({
    clock,
    port,
    routes: () => ({
      "GET /weights/*": ({ response, parts }) => {
        const now = clock.now();
        if (now - windowStart >= 1_000) {
          windowStart = now;
          reads = 0;
        }
        if (++reads > maxPerSecond) {
          return sendJson(response, {
            status: 429,
            body: { error: "rate" },
            headers: { "retry-after": "1" },
          });
        }
        const name = parts[0] ?? "";
        const version = computeDigest(name);
        const body = { name, version, bytes: WEIGHT_BYTES };
        sendJson(response, { status: 200, body });
      },
    }),
  });
}
