/**
 * The demo: starts a complete site as processes, sends requests and checks every
 * answer.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import process from "node:process";
import { parseArgs } from "node:util";
import type { Clock } from "@mangoreach/shared";
import { createSystemClock } from "@mangoreach/shared";
import type { CallerLoad } from "./caller_load.ts";
import { createCallerLoad } from "./caller_load.ts";
import type { CheckResult } from "./checker.ts";
import { checkHistory, hasNoViolations } from "./checker.ts";
import { killAll } from "./process_launcher.ts";
import { runProgram } from "./programs.ts";
import { createRandomLoad } from "./random_load.ts";
import type { Site } from "./site_launcher.ts";
import { launchSite } from "./site_launcher.ts";
import type { Deployment } from "./site_plan.ts";
import { readDeployment } from "./site_plan.ts";

const USAGE =
  `Usage: npm run demo -- [--deployment NAME] [--requests N] [--keep]

Starts a site on loopback, sends requests, checks every answer, and prints one
JSON line last. --keep leaves the site running and prints example commands.
`;
const DEMO_RATE = 40;
const PROGRESS_INTERVAL = 50;
const POLL_INTERVAL_MS = 100;
const READY_TIMEOUT_MS = 15_000;
const SEED = 1;
/** Entries of the demo drain quickly, so that it ends soon. */
const DEMO_TIMING = { drainMs: 500, exchangeMs: 500, suspectMs: 2_000 };

async function publish(site: Site, { configFile }: Deployment): Promise<void> {
  const result = await runProgram("mangoreachctl", [
    "publish",
    configFile,
    "--settings",
    site.operatorSettingsFile,
    "--author",
    "demo",
  ]);
  print(result.output.trim() || result.errors.trim());
  if (result.status !== 0) throw new Error("the configuration is not in force");
}

/** Waits until all entries are listed and each sees all others alive. */
async function waitUntilConnected(site: Site, clock: Clock): Promise<void> {
  const timeoutAt = clock.now() + READY_TIMEOUT_MS;
  while (clock.now() < timeoutAt) {
    const result = await runProgram("mangoreachctl", [
      "status",
      "--json",
      "--settings",
      site.operatorSettingsFile,
    ]);
    const statuses = JSON.parse(result.output || "[]") as {
      peers?: { health: string }[];
    }[];
    const isComplete = statuses.length === site.entries.length &&
      statuses.every(({ peers }) =>
        peers?.filter(({ health }) => health === "alive").length ===
          site.entries.length - 1
      );
    if (isComplete) return;
    await clock.sleep(POLL_INTERVAL_MS);
  }
  throw new Error("the entries did not discover each other in time");
}

async function sendRequests(
  load: CallerLoad,
  { deployment, requests, clock }: {
    deployment: Deployment;
    requests: number;
    clock: Clock;
  },
): Promise<void> {
  const randomLoad = createRandomLoad(deployment.plan.work, SEED);
  const sending: Promise<unknown>[] = [];
  for (let i = 1; i <= requests; i++) {
    sending.push(load.send(randomLoad.sample()));
    if (i % PROGRESS_INTERVAL === 0) print(`sent ${i} of ${requests}`);
    await clock.sleep(randomLoad.sampleGap(DEMO_RATE));
  }
  await Promise.all(sending);
}

function createSummary(result: CheckResult, load: CallerLoad) {
  const latencies = load.history
    .flatMap(({ received }) =>
      received === undefined ? [] : [received.latencyMs]
    )
    .sort((a, b) => a - b);
  const getPercentile = (share: number) =>
    Math.round((latencies[Math.floor(latencies.length * share)] ?? 0) * 10) /
    10;
  return {
    sent: result.sent,
    whole_in_time: result.answeredInTime,
    refused_not_run: result.refusedNotRun,
    may_have_run: result.mayHaveRun,
    wrong: result.wrong.length,
    lost: result.lost.length,
    doubled: result.doubled.length,
    falsely_not_run: result.falselyNotRun.length,
    p50_ms: getPercentile(0.5),
    p99_ms: getPercentile(0.99),
  };
}

function printExamples(site: Site, { plan }: Deployment): void {
  const [account] = plan.accounts;
  const [entry] = site.entries;
  const work = plan.work.find(({ pipeline, account: name }) =>
    pipeline !== undefined && name === account?.name
  );
  if (account === undefined || entry === undefined) return;
  print(`
The site runs until you press Ctrl-C. List the addresses of entries:

  curl -H 'authorization: Bearer ${account.name}:${account.key}' \\
    http://${entry.callerAddress}/v1/addresses

Send a request (add -H 'accept: text/event-stream' -N to stream tokens):

  curl -H 'authorization: Bearer ${account.name}:${account.key}' \\
    -H 'mangoreach-class: ${work?.className}' -H 'mangoreach-idempotent: true' \\
    -d '{"text":"a complaint about a water bill"}' \\
    http://${entry.callerAddress}/v1/pipelines/${work?.pipeline}

Inspect the site:

  node dist/mangoreachctl.mjs status --settings ${site.operatorSettingsFile}
  node dist/mangoreach-timeline.mjs --settings ${site.operatorSettingsFile}
`);
}

function print(line: string): void {
  process.stderr.write(`${line}\n`);
}

async function waitForInterrupt(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
}

async function run(): Promise<void> {
  const { values } = parseArgs({
    options: {
      deployment: { type: "string", default: "demo" },
      requests: { type: "string", default: "240" },
      keep: { type: "boolean", default: false },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) return void process.stdout.write(USAGE);
  const clock = createSystemClock();
  const deployment = readDeployment(values.deployment);
  print(
    `starting ${deployment.plan.entries.length} entries and their stand-ins`,
  );
  const site = await launchSite({ deployment, timing: DEMO_TIMING });
  await waitUntilConnected(site, clock);
  await publish(site, deployment);
  if (values.keep) {
    printExamples(site, deployment);
    await waitForInterrupt();
    return await site.stop();
  }
  const load = createCallerLoad({
    clock,
    deployment,
    readKnownAddresses: () => site.entries.map((entry) => entry.callerAddress),
    createUniqueText: () => randomBytes(8).toString("hex"),
  });
  const requests = Number(values.requests);
  await sendRequests(load, { deployment, requests, clock });
  const result = checkHistory(load.history, await site.readExecutions());
  await load.close();
  await site.stop();
  const summary = createSummary(result, load);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  const isPassed = hasNoViolations(result) && result.mayHaveRun === 0;
  process.exitCode = isPassed ? 0 : 1;
}

run().catch((error) => {
  killAll();
  print(`demo: ${error instanceof Error ? error.stack : error}`);
  process.exitCode = 1;
});
