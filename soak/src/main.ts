/**
 * `npm run soak`: runs the built program while injecting random faults from the
 * outside, and checks that it keeps its guarantees.
 *
 * @module
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import type { RegressionSeed } from "./regression_seeds.ts";
import { REGRESSION_SEEDS } from "./regression_seeds.ts";
import type { FaultKindSet } from "./soak_plan.ts";
import { runSoak } from "./soak_run.ts";
import { runStopSoak } from "./stop_soak.ts";

const USAGE = `Usage: npm run soak -- [options]

  --seeds N     number of runs (1)
  --seed S      the first seed; by default a new one
  --kept        only the regression seeds
  --seconds T   duration of the fault phase of a run (8)
  --entries N   entries per site (3)
  --jobs N      concurrent runs (1)
  --kinds K     faults: first, second, third, signals, paths, versions,
                all, repeats (all); or stops: signals to stop under long streams, with their
                own schedule and, unless it is given, number of entries
`;

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1" },
    seed: { type: "string" },
    kept: { type: "boolean" },
    seconds: { type: "string", default: "8" },
    entries: { type: "string" },
    jobs: { type: "string", default: "1" },
    kinds: { type: "string", default: "all" },
    help: { type: "boolean" },
  },
});

const DEFAULT_ENTRIES = 3;

/** Seed and fault kinds of one run. */
type SoakRun = Pick<RegressionSeed, "seed" | "kinds">;

function listRuns(): SoakRun[] {
  if (values.kept) return [...REGRESSION_SEEDS];
  const first = values.seed === undefined
    ? Date.now() % 1_000_000_000
    : Number(values.seed);
  return Array.from(
    { length: Number(values.seeds) },
    (_, index) => ({
      seed: first + index,
      kinds: values.kinds as FaultKindSet,
    }),
  );
}

async function run(): Promise<number> {
  const runs = listRuns();
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-soak-"));
  let failed = 0;

  function report(seed: number, line: string, violations: string[]): void {
    if (violations.length > 0) failed++;
    process.stdout.write(
      `seed ${seed}: ${line}, ${violations.length} violations\n` +
        violations.slice(0, 10).map((violation) => `  ${violation}\n`).join(""),
    );
  }

  async function runStops(seed: number): Promise<void> {
    const { requests, served, sent, refused, finished, cut, violations } =
      await runStopSoak({
        seed,
        folder: join(folder, String(seed)),
        ...(values.entries === undefined
          ? {}
          : { entries: Number(values.entries) }),
      });
    report(
      seed,
      `${served} of ${requests} served; while stopping ${sent} sent, ` +
        `${refused} refused, ${finished} finished, ${cut} cut`,
      violations,
    );
  }

  async function runNext(): Promise<void> {
    for (let next = runs.shift(); next !== undefined; next = runs.shift()) {
      const { seed, kinds } = next;
      if (values.kinds === "stops") {
        await runStops(seed);
        continue;
      }
      const result = await runSoak({
        seed,
        kinds,
        length: 1_000 * Number(values.seconds),
        entryCount: Number(values.entries ?? DEFAULT_ENTRIES),
        folder: join(folder, String(seed)),
      });
      const { requests, served, resumed, faults, repeats, violations } = result;
      report(
        seed,
        `${faults} faults, ${served} of ${requests} served, ` +
          `${resumed.served} of ${resumed.sent} streams went on, repeated ` +
          `${repeats.requests} requests and ${repeats.pieces} pieces`,
        violations,
      );
    }
  }

  await Promise.all(Array.from({ length: Number(values.jobs) }, runNext));
  process.stdout.write(`logs: ${folder}\n${failed} failed\n`);
  return failed;
}

if (values.help) process.stdout.write(USAGE);
// Connections that a fault has silenced may outlive their site.
else process.exit((await run()) > 0 ? 1 : 0);
