/**
 * The bench: `npm run bench -- SCENARIO`. Each run prints its result as one JSON line.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { runControlCost } from "./control_cost.ts";
import type { BenchPolicy, LoadBenchResult } from "./load_bench.ts";
import { runLoadBench } from "./load_bench.ts";
import { runOverhead } from "./overhead.ts";
import { killAll } from "./process_launcher.ts";
import { writeReport } from "./report.ts";
import { SCENARIOS } from "./scenarios.ts";
import { readDeployment } from "./site_plan.ts";

const USAGE =
  `Usage: npm run bench -- SCENARIO[,SCENARIO…]|all|overhead|control|report [OPTIONS]

  --policy NAME       mangoreach (default), round_robin or least_in_flight
  --compare           all three policies on the same seeds
  --seed N            first seed, default 1
  --seeds N           number of seeds, default 1
  --seconds N         length of a run, default 10
  --deployment NAME   fjordvik (default) or association
  --lanes N           number of parallel runs, default 1
  --store             store results under .bench/ for the report

Scenarios: ${SCENARIOS.map(({ name }) => name).join(", ")}
`;
const POLICIES: readonly BenchPolicy[] = [
  "mangoreach",
  "round_robin",
  "least_in_flight",
];
const RESULTS_FOLDER = ".bench/results";

function readOptions() {
  return parseArgs({
    allowPositionals: true,
    options: {
      policy: { type: "string", default: "mangoreach" },
      compare: { type: "boolean", default: false },
      seed: { type: "string", default: "1" },
      seeds: { type: "string", default: "1" },
      seconds: { type: "string", default: "10" },
      deployment: { type: "string", default: "fjordvik" },
      lanes: { type: "string", default: "1" },
      store: { type: "boolean", default: false },
      help: { type: "boolean", default: false },
    },
  });
}

type Options = ReturnType<typeof readOptions>["values"];

interface PlannedRun {
  scenario: (typeof SCENARIOS)[number];
  policy: BenchPolicy;
  seed: number;
}

function planRuns(names: readonly string[], options: Options): PlannedRun[] {
  const selected = names.includes("all")
    ? SCENARIOS
    : SCENARIOS.filter(({ name }) => names.includes(name));
  const policies = options.compare
    ? POLICIES
    : POLICIES.filter((policy) => policy === options.policy);
  const first = Number(options.seed);
  const seeds = Array.from(
    { length: Number(options.seeds) },
    (_, i) => first + i,
  );
  return selected.flatMap((scenario) =>
    seeds.flatMap((seed) =>
      policies.map((policy) => ({ scenario, policy, seed }))
    )
  );
}

async function runAll(runs: PlannedRun[], options: Options): Promise<void> {
  const deployment = readDeployment(options.deployment);
  const seconds = Number(options.seconds);
  const waiting = [...runs];
  async function runLane(): Promise<void> {
    for (
      let next = waiting.shift();
      next !== undefined;
      next = waiting.shift()
    ) {
      const result = await runLoadBench({ ...next, deployment, seconds });
      printTable(result);
      if (options.store) storeResult(result);
      process.stdout.write(`${JSON.stringify(result)}\n`);
    }
  }
  await Promise.all(Array.from({ length: Number(options.lanes) }, runLane));
}

function printTable(result: LoadBenchResult): void {
  const { scenario, policy, seed, classes, all, cost_by_stage } = result;
  process.stderr.write(`\n${scenario} ${policy} seed ${seed}\n`);
  for (const [name, c] of Object.entries(classes)) {
    process.stderr.write(
      `  ${name.padEnd(14)} offered ${
        String(c.offered).padStart(5)
      } attained ` +
        `${c.attainment.toFixed(3)} bound ${c.bound.toFixed(3)} refused ` +
        `${c.refused} late ${c.late} failed ${c.failed} p50 ${c.p50_ms} p95 ` +
        `${c.p95_ms} p99 ${c.p99_ms} first ${c.first_token_p95_ms} ${
          JSON.stringify(c.reasons)
        }\n`,
    );
  }
  process.stderr.write(
    `  all attained ${all.attainment.toFixed(3)} bound ${
      all.bound.toFixed(3)
    } wasted ${result.wasted_share} cpu ${result.entry_cpu_share} cost ${
      JSON.stringify(cost_by_stage)
    } stages ${JSON.stringify(result.stage_ms)} ${result.broken.join(" ")}\n`,
  );
}

function storeResult(result: LoadBenchResult): void {
  mkdirSync(RESULTS_FOLDER, { recursive: true });
  const { deployment, scenario, policy, seed } = result;
  const name = `${deployment}-${scenario}-${policy}-${seed}.json`;
  writeFileSync(`${RESULTS_FOLDER}/${name}`, JSON.stringify(result));
}

async function run(): Promise<void> {
  const { values, positionals } = readOptions();
  const names = positionals.flatMap((part) => part.split(","));
  if (values.help || names.length === 0) {
    return void process.stdout.write(USAGE);
  }
  if (names.includes("overhead")) {
    const result = await runOverhead();
    return void process.stdout.write(`${JSON.stringify(result)}\n`);
  }
  if (names.includes("report")) {
    const runs = await writeReport();
    return void process.stdout.write(`${JSON.stringify({ report: runs })}\n`);
  }
  if (names.includes("control")) {
    const result = await runControlCost(values.deployment);
    return void process.stdout.write(`${JSON.stringify(result)}\n`);
  }
  const runs = planRuns(names, values);
  if (runs.length === 0) throw new Error(USAGE);
  await runAll(runs, values);
}

run().catch((error) => {
  killAll();
  process.stderr.write(
    `bench: ${error instanceof Error ? error.stack : error}\n`,
  );
  process.exitCode = 1;
});
