/**
 * Runs one failure case: a site, steady load, one or two failures, something
 * that operators do meanwhile, and the judgement from outside.
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
import { judgeHistory } from "./checker.ts";
import type { Failure, FailureContext } from "./failures.ts";
import { createRandomLoad } from "./random_load.ts";
import type { Site } from "./site_launcher.ts";
import { launchSite } from "./site_launcher.ts";
import type { Deployment } from "./site_plan.ts";
import { readDeployment } from "./site_plan.ts";

/** What happens while the failures last. */
export type OperatorAction =
  /** Only the load; judged by what callers got and endpoints executed. */
  | "load"
  /** An endpoint leaves and says so; the instance list does not. */
  | "leave"
  /** An entry is told to stop. */
  | "stop"
  /** A configuration is published. */
  | "publish";

/** One case. */
export interface FaultCase {
  name: string;
  failures: readonly Failure[];
  action: OperatorAction;
  seed: number;
}

/** How a case ended. */
export interface FaultResult {
  name: string;
  /** Empty when everything that must hold held. */
  broken: string[];
  /** Counts for the report. */
  sent: number;
  wholeInTime: number;
  refusedNotRun: number;
  mayHaveRun: number;
}

const RATE = 60;
const BEFORE_MS = 500;
const DURING_MS = 2_200;
const AFTER_MS = 1_200;
const SETTLE_MS = 8_000;
/** An endpoint that leaves gets no new work after this time. */
const LEAVE_GRACE_MS = 1_500;
const PUBLISH_LIMIT_MS = 15_000;
const POLL_MS = 100;
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

/** Runs a case on a site of its own. */
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
    publishTwice: operator.publishTwice,
  };
  const killed: Execution[] = [];
  await clock.sleep(BEFORE_MS);
  killed.push(...await site.readExecutions());
  for (const failure of failures) await failure.begin(failureContext);
  const acting = runAction(action, { context, operator, broken })
    .catch((error) => void broken.push(`the action failed: ${error}`));
  await clock.sleep(DURING_MS);
  for (const failure of failures) await failure.end(failureContext);
  await clock.sleep(AFTER_MS);
  sender.stop();
  await Promise.race([sender.done, clock.sleep(SETTLE_MS)]);
  await acting;
  await operator.checkInForce(broken);
  versions.stop();
  const executions = mergeExecutions(killed, await site.readExecutions());
  const judgement = judgeHistory(load.history, executions);
  await load.close();
  await operator.close();
  broken.push(...describeBroken("wrong", judgement.wrong));
  broken.push(...describeBroken("lost", judgement.lost));
  broken.push(...describeBroken("doubled", judgement.doubled));
  broken.push(...describeBroken("falsely not run", judgement.falselyNotRun));
  await checkFences(site, broken);
  const { sent, wholeInTime, refusedNotRun, mayHaveRun } = judgement;
  return { name, broken, sent, wholeInTime, refusedNotRun, mayHaveRun };
}

/** Ledgers of killed endpoints are gone; what was read before still counts. */
function mergeExecutions(
  before: readonly Execution[],
  after: readonly Execution[],
): Execution[] {
  const format = (e: Execution) =>
    `${e.requestId} ${e.stage} ${e.attempt} ${e.at}`;
  const known = new Set(after.map(format));
  return [...after, ...before.filter((one) => !known.has(format(one)))];
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
  const drawn = createRandomLoad(deployment.plan.work, seed);
  const sending: Promise<unknown>[] = [];
  let factor = 1;
  let isStopped = false;
  async function send(): Promise<void> {
    while (!isStopped) {
      sending.push(load.send(drawn.draw()));
      await clock.sleep(drawn.drawGap(RATE * factor));
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

  /** Tries under one id until the log says what became of it. */
  async function publishUntilInForce(target: number): Promise<PublishOutcome> {
    const config = structuredClone(deployment.config);
    config.classes[0]!.target = target;
    const publishId = randomUUID();
    const giveUpAt = clock.now() + PUBLISH_LIMIT_MS;
    for (;;) {
      if (clock.now() > giveUpAt) {
        throw new Error("the publish was never decided");
      }
      const outcome = await publish(config, publishId);
      if (outcome.kind === "unknown") {
        await clock.sleep(POLL_MS);
        continue;
      }
      if (outcome.kind === "in_force") version = outcome.version;
      else version = outcome.inForce.version;
      return outcome;
    }
  }

  async function publishTwice(): Promise<void> {
    const before = version;
    const outcomes = await Promise.all([
      publishUntilInForce(0.91),
      publishUntilInForce(0.92),
    ]);
    const won = outcomes.filter(({ kind }) => kind === "in_force").length;
    if (won !== 1) throw new Error(`${won} publishes on version ${before} won`);
  }

  /** Everything published is in force at every entry before long. */
  async function checkInForce(broken: string[]): Promise<void> {
    const giveUpAt = clock.now() + SETTLE_MS;
    let lacking: string[] = [];
    while (clock.now() < giveUpAt) {
      const statuses = await readVersions(site);
      lacking = statuses.filter((one) => one.version !== version)
        .map((one) => `${one.entry}: ${one.version}`);
      if (lacking.length === 0) return;
      await clock.sleep(POLL_MS);
    }
    broken.push(`version ${version} not in force at ${lacking.join(", ")}`);
  }

  return {
    publishUntilInForce,
    publishTwice,
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
  const readings = running.map(async ({ name, controlAddress }) => {
    const status = await site.call({
      method: "GET",
      address: controlAddress,
      path: "/operators/status",
      headers: { authorization: `Bearer ${site.operatorKey}` },
      signal: AbortSignal.timeout(500),
    }).catch(() => undefined) as { configVersion: number } | undefined;
    return { entry: name, version: status?.configVersion ?? -1 };
  });
  return await Promise.all(readings);
}

/** Watches that no entry process ever goes back to an older configuration. */
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
        // -1: no answer; 0: a new process that has no configuration yet.
        if (version > 0 && version < before) {
          broken.push(`${entry} went back from ${before} to ${version}`);
        }
        highest.set(key, Math.max(before, version));
      }
      await clock.sleep(POLL_MS);
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
      if (status !== 0) broken.push(`a planned stop ended with ${status}`);
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

/** Engines that check fencing numbers must have seen them rise only. */
async function checkFences(site: Site, broken: string[]): Promise<void> {
  for (const { id, pool, address, process } of site.endpoints) {
    if (pool !== "engine" || process.hasExited) continue;
    const orders = await site.call({ method: "GET", address, path: "/orders" });
    const fences = (orders as { fence: number }[]).map(({ fence }) => fence);
    const isRising = fences.every((fence, i) =>
      i === 0 || fence >= (fences[i - 1] ?? 0)
    );
    if (!isRising) broken.push(`${id} took orders ${fences.join(", ")}`);
  }
}
