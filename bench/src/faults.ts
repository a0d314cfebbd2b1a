/**
 * `npm run faults`: runs the failure cases of one table with real processes, in a
 * fixed order. The last line of the output is JSON.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import type { FaultCase, FaultResult, OperatorAction } from "./fault_case.ts";
import { runFaultCase } from "./fault_case.ts";
import type { FailureName } from "./failures.ts";
import { FAILURES } from "./failures.ts";
import { killAll } from "./process_launcher.ts";

const ACTIONS: readonly OperatorAction[] = ["load", "leave", "stop", "publish"];

/** Failures that occur at the same time. */
const PAIRS: readonly (readonly [FailureName, FailureName])[] = [
  ["process_killed", "log_away"],
  ["process_frozen", "log_away"],
  ["process_frozen", "process_killed"],
  ["stage_dead", "burst"],
  ["stage_slow", "process_killed"],
  ["connection_cut", "process_killed"],
  ["append_lost", "operators_at_once"],
  ["list_late", "log_away"],
  ["lapsed_lease", "append_lost"],
  ["connection_cut", "burst"],
];

function createCases(): FaultCase[] {
  const singles = FAILURES.flatMap((failure) =>
    ACTIONS.map((action) => ({
      name: `${failure.name}/${action}`,
      failures: [failure],
      action,
    }))
  );
  const pairs = PAIRS.map((names) => ({
    name: `${names.join("+")}/load`,
    failures: FAILURES.filter(({ name }) => names.includes(name)),
    action: "load" as const,
  }));
  return [...singles, ...pairs].map((faultCase, i) => ({
    ...faultCase,
    seed: 100 + i,
  }));
}

function printResult(result: FaultResult, seed: number): void {
  const { name, broken, sent, answeredInTime, refusedNotRun, mayHaveRun } =
    result;
  const outcome = broken.length === 0 ? "held  " : "BROKEN";
  process.stderr.write(
    `${outcome} ${name.padEnd(36)} seed ${seed} sent ${sent} ` +
      `in time ${answeredInTime} not run ${refusedNotRun} ` +
      `may have run ${mayHaveRun} ${broken.join("; ")}\n`,
  );
}

async function run(): Promise<void> {
  const { values } = parseArgs({
    options: {
      only: { type: "string", default: "" },
      lanes: { type: "string", default: "2" },
      stories: { type: "boolean", default: false },
    },
  });
  if (values.stories) {
    for (const { name, story } of FAILURES) {
      process.stdout.write(`${name}: ${story}\n`);
    }
    return;
  }
  const cases = createCases().filter(({ name }) => name.includes(values.only));
  const counts = { cases: cases.length, held: 0, broken: 0, not_run: 0 };
  const waiting = [...cases];
  async function runLane(): Promise<void> {
    for (
      let next = waiting.shift();
      next !== undefined;
      next = waiting.shift()
    ) {
      try {
        const result = await runFaultCase(next);
        printResult(result, next.seed);
        counts[result.broken.length === 0 ? "held" : "broken"]++;
      } catch (error) {
        counts.not_run++;
        process.stderr.write(`NOT RUN ${next.name} ${error}\n`);
      }
    }
  }
  await Promise.all(Array.from({ length: Number(values.lanes) }, runLane));
  process.stdout.write(`${JSON.stringify(counts)}\n`);
  process.exitCode = counts.broken + counts.not_run === 0 ? 0 : 1;
}

run().catch((error) => {
  killAll();
  process.stderr.write(
    `faults: ${error instanceof Error ? error.stack : error}\n`,
  );
  process.exitCode = 1;
});
