/**
 * Runs all checks: format, lint, types, builds, tests and a short soak test. The
 * last line is `N passed, N failed`; each check that is not a test counts as one.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync } from "node:fs";
import process from "node:process";

interface Counts {
  passed: number;
  failed: string[];
}

interface MochaReport {
  passes: { fullTitle: string }[];
  failures: { fullTitle: string; err: { message?: string; stack?: string } }[];
}

const REPORT = "node_modules/.cache-mocha-report.json";
/** Seed of the short soak run; runs with new seeds are started manually. */
const SOAK_SEED = "20261202";
const KNOWN_RED = "KNOWN-RED.txt";

function run(command: string, args: readonly string[]): boolean {
  return spawnSync(command, args, { stdio: "inherit" }).status === 0;
}

function check(name: string, args: readonly string[], counts: Counts): void {
  process.stdout.write(`== ${name}\n`);
  if (run("npx", ["--no-install", ...args])) counts.passed++;
  else counts.failed.push(name);
}

function runTests(counts: Counts): void {
  process.stdout.write("== tests\n");
  rmSync(REPORT, { force: true });
  spawnSync("npx", ["--no-install", "mocha"], {
    stdio: "inherit",
    env: { ...process.env, MOCHA_REPORT: REPORT },
  });
  if (!existsSync(REPORT)) {
    counts.failed.push("tests (no report was written)");
    return;
  }
  const report = JSON.parse(readFileSync(REPORT, "utf8")) as MochaReport;
  counts.passed += report.passes.length;
  for (const { fullTitle, err } of report.failures) {
    process.stdout.write(`FAILED ${fullTitle}\n${err.stack ?? err.message}\n`);
    counts.failed.push(fullTitle);
  }
}

/** Reads the test titles of KNOWN-RED.txt: `title | cause | issue` on each line. */
function readKnownFailures(): string[] {
  if (!existsSync(KNOWN_RED)) return [];
  return readFileSync(KNOWN_RED, "utf8").split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => line.split("|")[0]!.trim());
}

const counts: Counts = { passed: 0, failed: [] };
check("format", ["deno", "fmt", "--check", "--quiet"], counts);
check("lint", ["deno", "lint", "--quiet"], counts);
check("types", ["tsc"], counts);
check("names", ["tsx", "scripts/check_names.ts"], counts);
check("settings reference", [
  "tsx",
  "scripts/settings_reference.ts",
  "--check",
], counts);
check("build", ["tsx", "scripts/build.ts"], counts);
check("platform build", ["tsx", "scripts/build_platform.ts"], counts);
runTests(counts);
check("soak", [
  "tsx",
  "soak/src/main.ts",
  ...["--seed", SOAK_SEED, "--seeds", "2", "--jobs", "2", "--seconds", "4"],
], counts);
check("soak of repeats", [
  "tsx",
  "soak/src/main.ts",
  ...["--seed", SOAK_SEED, "--seeds", "2", "--jobs", "2", "--seconds", "4"],
  ...["--kinds", "repeats"],
], counts);
check("soak of stops", [
  "tsx",
  "soak/src/main.ts",
  ...["--seed", SOAK_SEED, "--seeds", "2", "--jobs", "2", "--kinds", "stops"],
], counts);

const knownFailures = readKnownFailures();
const isCi = process.argv.includes("--ci");
const ignored = isCi
  ? counts.failed.filter((title) => knownFailures.includes(title))
  : [];
for (const title of ignored) {
  process.stdout.write(`known red, passed over: ${title}\n`);
}
const failed = counts.failed.length - ignored.length;
process.stdout.write(`${counts.passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
