/**
 * `npm run soak`: runs the program under random faults from outside and checks
 * the promises while it does.
 *
 * @module
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { runSoak } from "./soak_run.ts";

const USAGE = `Usage: npm run soak -- [options]

  --seeds N     how many runs (1)
  --seed S      the first seed; otherwise a fresh one
  --seconds T   time with faults of one run (8)
  --entries N   entries of a site (3)
  --jobs N      runs at a time (1)
`;

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1" },
    seed: { type: "string" },
    seconds: { type: "string", default: "8" },
    entries: { type: "string", default: "3" },
    jobs: { type: "string", default: "1" },
    help: { type: "boolean" },
  },
});

async function run(): Promise<number> {
  const first = values.seed === undefined
    ? Date.now() % 1_000_000_000
    : Number(values.seed);
  const seeds = Array.from(
    { length: Number(values.seeds) },
    (_, index) => first + index,
  );
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-soak-"));
  let failed = 0;

  async function runNext(): Promise<void> {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      const result = await runSoak({
        seed,
        length: 1_000 * Number(values.seconds),
        entryCount: Number(values.entries),
        folder: join(folder, String(seed)),
      });
      const { requests, served, faults, broken } = result;
      if (broken.length > 0) failed++;
      process.stdout.write(
        `seed ${seed}: ${faults} faults, ${served} of ${requests} served, ` +
          `${broken.length} broken\n` +
          broken.slice(0, 10).map((line) => `  ${line}\n`).join(""),
      );
    }
  }

  await Promise.all(Array.from({ length: Number(values.jobs) }, runNext));
  process.stdout.write(`logs: ${folder}\n${failed} failed\n`);
  return failed;
}

if (values.help) process.stdout.write(USAGE);
else process.exitCode = (await run()) > 0 ? 1 : 0;
