/**
 * Runs service calls, which have a single stage.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Failure, StageForecast } from "@mangoreach/coordination";
import type { ServiceConfig } from "@mangoreach/operators";
import type { ServiceClient, ServiceReply } from "@mangoreach/services";
import { formatCausalTime } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { EntryContext } from "./entry_context.ts";
import type { PoolSet } from "./pool_set.ts";
import type { RequestRun } from "./request_run.ts";
import type { SecondAttemptPolicy } from "./stage_attempts.ts";
import { createAbortedFailure, runAttempts } from "./stage_attempts.ts";

/** An admitted service call. */
export interface ServiceTask {
  run: RequestRun;
  service: ServiceConfig;
  path: string;
  contentType: string;
  body: Buffer;
}

/** Runs service calls. */
export interface ServiceRunner {
  run(task: ServiceTask): Promise<Result<ServiceReply, Failure>>;
  forecast(
    service: ServiceConfig,
    request: { priority: number; bodyLength: number },
  ): StageForecast[];
}

/** Options of {@linkcode createServiceRunner}. */
export interface ServiceRunnerOptions {
  pools: PoolSet;
  services: ServiceClient;
  policy: SecondAttemptPolicy;
}

/** Creates the service runner of one entry. */
export function createServiceRunner(
  { clock, timeline, metrics }: EntryContext,
  { pools, services, policy }: ServiceRunnerOptions,
): ServiceRunner {
  async function run(
    { run, service, path, contentType, body }: ServiceTask,
  ): Promise<Result<ServiceReply, Failure>> {
    const startedAt = clock.now();
    const done = await runAttempts<ServiceReply>({
      clock,
      metrics,
      run,
      poolName: service.pool,
      pool: pools.find(service.pool),
      work: {
        workClass: run.workClass,
        account: run.account,
        size: body.length,
        deadline: run.deadline,
        reservedTime: 0,
      },
      policy,
      retainsPermit: false,
      send: async ({ endpoint, number, signal }) => {
        const subject = {
          request: run.id,
          stage: service.name,
          endpoint: endpoint.id,
        };
        timeline.record("stage_sent", subject);
        const reply = await services.call({
          endpoint,
          requestId: run.wireId,
          stage: service.name,
          attempt: number,
          path,
          contentType,
          body,
          causalTime: formatCausalTime(timeline.clock.tick()),
          signal,
        });
        timeline.record(
          reply.isOk ? "stage_answered" : "stage_failed",
          subject,
        );
        return reply;
      },
      onWasted: (duration) =>
        pools.addCost(service.pool, { duration, isUseful: false }),
    });
    metrics.observeStage(service.name, (clock.now() - startedAt) / 1_000);
    return done
      .map(({ value }) => value)
      .mapErr((failure) =>
        run.deadline.signal.aborted
          ? createAbortedFailure(run)
          : { ...failure, verdict: run.verdict }
      );
  }

  return {
    run,
    forecast(service, { priority, bodyLength }) {
      const pool = pools.find(service.pool);
      return [{
        wait: pool.estimateWait(priority),
        service: pool.estimateService(bodyLength, priority),
        unloaded: pool.estimateUnloaded(bodyLength),
      }];
    },
  };
}
