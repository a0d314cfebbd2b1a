/**
 * Admission and a retry budget around an HTTP service.
 *
 * Run it: `npx tsx packages/coordination/examples/guarded_http_service.ts`
 *
 * @module
 */
import { createAdmission, createRetryBudget } from "@mangoreach/coordination";
import {
  createHttpClient,
  createSystemClock,
  readServerAddress,
  sendJson,
  startServer,
  stopServer,
} from "@mangoreach/shared";

const WORK_CLASS = { name: "reports", priority: 1, target: 0.99 };
const LIMITS = {
  maxHeaderBytes: 16_384,
  requestTimeoutMs: 1_000,
  maxConnections: 100,
};
const FORECAST = { wait: 0, service: 5, unloaded: 2 };

/** The outcomes of the example's requests. */
export interface GuardedServiceCounts {
  answered: number;
  refused: number;
  retries: number;
}

/** Sends concurrent requests to a service that can run only a few of them. */
export async function runGuardedService(
  requests: number,
): Promise<GuardedServiceCounts> {
  const clock = createSystemClock();
  const admission = createAdmission({
    clock,
    random: Math.random,
    maxInProgress: 4,
    readLowestPriority: () => 1,
  });
  const server = await startServer(async (_request, response) => {
    const admitted = admission.admit({
      workClass: WORK_CLASS,
      remaining: 1_000,
      stages: [FORECAST],
    });
    if (admitted.isErr) {
      return sendJson(response, { status: 429, body: admitted.error });
    }
    await clock.sleep(FORECAST.service);
    admitted.value.end({ kind: "in_time", slack: 0.9 });
    sendJson(response, { status: 200, body: { done: true } });
  }, { address: { host: "127.0.0.1", port: 0 }, limits: LIMITS });

  const http = createHttpClient();
  const budget = createRetryBudget({ share: 0.1, max: 2 });
  const counts = { answered: 0, refused: 0, retries: 0 };
  const address = readServerAddress(server);
  async function send(): Promise<void> {
    budget.deposit();
    for (;;) {
      const reply = await http.call({ method: "GET", address, path: "/" });
      if (reply.isOk && reply.value.status === 200) {
        return void counts.answered++;
      }
      // Without the budget every refused request would be retried at once.
      if (!budget.withdraw()) return void counts.refused++;
      counts.retries++;
    }
  }
  await Promise.all(Array.from({ length: requests }, send));
  await http.close();
  await stopServer(server);
  return counts;
}
