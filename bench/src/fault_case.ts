/**
 * Runs one failure case: a site under steady load with one or two failures and
 * an operator action at the same time, followed by a check of the history.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { createLogClient } from "@mangoreach/log";
import type { ConfigDocument, PublishOutcome } from "@mangoreach/operators";
import { publishConfig } from "@mangoreach/operators";
import type { Clock } from "@mangoreach/shared";
import { createSystemClock } from "@mangoreach/shared";
import type { Execution } from "@mangoreach/standins";
import type { CallerLoad } from "./caller_load.ts";
import { createCallerLoad } from "./caller_load.ts";
import { checkHistory } from "./checker.ts";
import type { Failure, FailureContext } from "./failures.ts";
import { createRandomLoad } from "./random_load.ts";
import type { Site } from "./site_launcher.ts";
import { launchSite } from "./site_launcher.ts";
import type { Deployment } from "./site_plan.ts";
import { readDeployment } from "./site_plan.ts";

/** What operators do while the failures last. */
export type OperatorAction =
  /** Nothing; only the load is sent. */
  | "load"
  /** An endpoint reports that it leaves; the instance list does not show it. */
  | "leave"
  /** An entry gets a stop signal. */
  | "stop"
  /** A configuration is published. */
  | "publish";

/** A failure case. */
export interface FaultCase {
  name: string;
  failures: readonly Failure[];
  action: OperatorAction;
  seed: number;
}

/** Result of a failure case. */
export interface FaultResult {
  name: string;
  /** Violated guarantees; empty when the case passed. */
  broken: string[];
  /** Counts for the report. */
  sent: number;
  answeredInTime: number;
  refusedNotRun: number;
  mayHaveRun: number;
}

const RATE = 60;
const BEFORE_MS = 500;
const DURING_MS = 2_200;
const AFTER_MS = 1_200;
const SETTLE_MS = 8_000;
/** Period after which a leaving endpoint must get no new work. */
const LEAVE_GRACE_MS = 1_500;
const PUBLISH_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 100;
const TIMING = {
  exchangeMs: 200,
  suspectMs: 1_000,
  loseMs: 2_500,
  instanceListMs: 200,
  loadReportMs: 200,
  leaseMs: 1_000,
  drainMs: 500,
  lingerMs: 2_500,
  shutdownMs: 8_000,
};

/** Runs a case on its own site. */
export async function runFaultCase(faultCase: FaultCase): Promise<FaultResult> {
  const clock = createSystemClock();
  const deployment = readDeployment("faults");
  const site = await launchSite({
    deployment,
    timing: TIMING,
    logLevel: "warn",
    listLagMs: 100,
  });
  try {
    return await runOnSite(faultCase, { site, clock, deployment });
  } finally {
    await site.stop();
  }
}

interface CaseContext {
  site: Site;
  clock: Clock;
  deployment: Deployment;
}

async function runOnSite(
  { name, failures, action, seed }: FaultCase,
  context: CaseContext,
): Promise<FaultResult> {
  const { site, clock, deployment } = context;
  const operator = createOperator(context);
  await operator.publishUntilInForce(1);
  await clock.sleep(TIMING.exchangeMs * 3);
  const load = createCallerLoad({
    clock,
    deployment,
    readKnownAddresses: () => site.entries.map((entry) => entry.callerAddress),
    createUniqueText: () => randomUUID(),
  });
  const broken: string[] = [];
  const versions = watchVersions(context, broken);
  const sender = startSender(load, { clock, deployment, seed });
  const failureContext: FailureContext = {
    site,
    clock,
    setBurst: sender.setFactor,
    publishConcurrently: operator.publishConcurrently,
  };
  const earlier: Execution[] = [];
  await clock.sleep(BEFORE_MS);
  earlier.push(...await site.readExecutions());
  for (const failure of failures) await failure.begin(failureContext);
  const actionDone = runAction(action, { context, operator, broken })
    .catch((error) => void broken.push(`the operator action failed: ${error}`));
  await clock.sleep(DURING_MS);
  for (const failure of failures) await failure.end(failureContext);
  await clock.sleep(AFTER_MS);
  sender.stop();
  await Promise.race([sender.done, clock.sleep(SETTLE_MS)]);
  await actionDone;
  await operator.checkInForce(broken);
  versions.stop();
  const executions = mergeExecutions(earlier, await site.readExecutions());
  const result = checkHistory(load.history, executions);
  await load.close();
  await operator.close();
  broken.push(...describeBroken("wrong", result.wrong));
  broken.push(...describeBroken("lost", result.lost));
  broken.push(...describeBroken("doubled", result.doubled));
  broken.push(...describeBroken("falsely not run", result.falselyNotRun));
  await checkFences(site, broken);
  const { sent, answeredInTime, refusedNotRun, mayHaveRun } = result;
  return { name, broken, sent, answeredInTime, refusedNotRun, mayHaveRun };
}

/** Adds earlier executions, since the ledgers of killed endpoints are lost. */
function mergeExecutions(
  before: readonly Execution[],
  after: readonly Execution[],
): Execution[] {
  const format = (e: Execution) =>
    `${e.requestId} ${e.stage} ${e.attempt} ${e.at}`;
  const known = new Set(after.map(format));
  return [
    ...after,
    ...before.filter((execution) => !known.has(format(execution))),
  ];
}

function describeBroken(what: string, labels: readonly string[]): string[] {
  if (labels.length === 0) return [];
  return [`${what}: ${labels.slice(0, 3).join(", ")} (${labels.length})`];
}

interface Sender {
  readonly done: Promise<void>;
  setFactor(factor: number): void;
  stop(): void;
}

function startSender(
  load: CallerLoad,
  { clock, deployment, seed }: {
    clock: Clock;
    deployment: Deployment;
    seed: number;
  },
): Sender {
  const randomLoad = createRandomLoad(deployment.plan.work, seed);
  const sending: Promise<unknown>[] = [];
  let factor = 1;
  let isStopped = false;
  async function send(): Promise<void> {
    while (!isStopped) {
      sending.push(load.send(randomLoad.sample()));
      await clock.sleep(randomLoad.sampleGap(RATE * factor));
    }
    await Promise.all(sending);
  }
  return {
    done: send(),
    setFactor(next) {
      factor = next;
    },
    stop() {
      isStopped = true;
    },
  };
}

type Operator = ReturnType<typeof createOperator>;

function createOperator({ site, clock, deployment }: CaseContext) {
  const log = createLogClient({
    clock,
    address: site.log.address,
    appendTimeoutMs: 1_000,
  });
  let version = 0;

  function publish(config: ConfigDocument, publishId: string) {
    return publishConfig({
      clock,
      log,
      publishId,
      author: "operator",
      basedOn: version,
      config,
      timeoutMs: 1_000,
    });
  }

  /** Retries under one id until the log reports the outcome of the publish. */
  async function publishUntilInForce(target: number): Promise<PublishOutcome> {
    const config = structuredClone(deployment.config);
    config.classes[0]!.target = target;
    const publishId = randomUUID();
    const timeoutAt = clock.now() + PUBLISH_TIMEOUT_MS;
    for (;;) {
      if (clock.now() > timeoutAt) {
        throw new Error(
          "the outcome of the publish stayed unknown until the timeout",
        );
      }
      const outcome = await publish(config, publishId);
      if (outcome.kind === "unknown") {
        await clock.sleep(POLL_INTERVAL_MS);
        continue;
      }
      if (outcome.kind === "in_force") version = outcome.version;
      else version = outcome.inForce.version;
      return outcome;
    }
  }

  async function publishConcurrently(): Promise<void> {
    const before = version;
    const outcomes = await Promise.all([
      publishUntilInForce(0.91),
      publishUntilInForce(0.92),
    ]);
    const won = outcomes.filter(({ kind }) => kind === "in_force").length;
    if (won !== 1) throw new Error(`${won} publishes on version ${before} won`);
  }

  /** Checks that the last published version comes into force at every entry. */
  async function checkInForce(broken: string[]): Promise<void> {
    const timeoutAt = clock.now() + SETTLE_MS;
    let outdated: string[] = [];
    while (clock.now() < timeoutAt) {
      const statuses = await readVersions(site);
      outdated = statuses.filter((status) => status.version !== version)
        .map((status) => `${status.entry}: ${status.version}`);
      if (outdated.length === 0) return;
      await clock.sleep(POLL_INTERVAL_MS);
    }
    broken.push(`version ${version} not in force at ${outdated.join(", ")}`);
  }

  return {
    publishUntilInForce,
    publishConcurrently,
    checkInForce,
    close: log.close,
  };
}

interface EntryVersion {
  entry: string;
  version: number;
}

async function readVersions(site: Site): Promise<EntryVersion[]> {
  const running = site.entries.filter(({ process }) => !process.hasExited);
  const requests = running.map(async ({ name, controlAddress }) => {
    const status = await site.call({
      method: "GET",
      address: controlAddress,
      path: "/operators/status",
      headers: { authorization: `Bearer ${site.operatorKey}` },
      signal: AbortSignal.timeout(500),
    }).catch(() => undefined) as { configVersion: number } | undefined;
    return { entry: name, version: status?.configVersion ?? -1 };
  });
  return await Promise.all(requests);
}

/** Checks continuously that no entry process reverts to an older configuration. */
function watchVersions({ site, clock }: CaseContext, broken: string[]) {
  const highest = new Map<string, number>();
  let isStopped = false;
  async function watch(): Promise<void> {
    while (!isStopped) {
      for (const { entry, version } of await readVersions(site)) {
        const process = site.entries.find(({ name }) => name === entry)
          ?.process;
        const key = `${entry} ${process?.pid}`;
        const before = highest.get(key) ?? 0;
        // -1 means no answer; 0 means a new process without a configuration.
        if (version > 0 && version < before) {
          broken.push(`${entry} reverted from version ${before} to ${version}`);
        }
        highest.set(key, Math.max(before, version));
      }
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }
  void watch();
  return {
    stop() {
      isStopped = true;
    },
  };
}

async function runAction(
  action: OperatorAction,
  { context, operator, broken }: {
    context: CaseContext;
    operator: Operator;
    broken: string[];
  },
): Promise<void> {
  const { site, clock } = context;
  switch (action) {
    case "load":
      return;
    case "publish":
      await operator.publishUntilInForce(0.95);
      return;
    case "stop": {
      const entry = site.entries.find(({ name }) => name === "entry-3");
      entry?.process.send("SIGTERM");
      await site.putInstance("entry-3", { state: "leaving" });
      const status = await entry?.process.exited;
      await site.removeInstance("entry-3");
      if (status !== 0) broken.push(`planned stop exited with ${status}`);
      return;
    }
    case "leave": {
      const endpoint = site.endpoints.find(({ id }) => id === "billing-2");
      if (endpoint === undefined) return;
      const { address } = endpoint;
      await site.call({
        method: "PUT",
        address,
        path: "/leaving",
        body: "true",
      });
      await clock.sleep(LEAVE_GRACE_MS);
      const readCount = async () => {
        const ledger = await site.call({
          method: "GET",
          address,
          path: "/ledger",
        });
        return (ledger as unknown[]).length;
      };
      const before = await readCount();
      await clock.sleep(DURING_MS + AFTER_MS - LEAVE_GRACE_MS);
      const after = await readCount();
      if (after > before) broken.push(`${after - before} calls after leaving`);
    }
  }
}

/** Checks that the fencing numbers of the orders at each engine never fall. */
async function checkFences(site: Site, broken: string[]): Promise<void> {
  for (const { id, pool, address, process } of site.endpoints) {
    if (pool !== "engine" || process.hasExited) continue;
    const orders = await site.call({ method: "GET", address, path: "/orders" });
    const fences = (orders as { fence: number }[]).map(({ fence }) => fence);
    const isRising = fences.every((fence, i) =>
      i === 0 || fence >= (fences[i - 1] ?? 0)
    );
    if (!isRising) broken.push(`${id} accepted fences ${fences.join(", ")}`);
  }
}
