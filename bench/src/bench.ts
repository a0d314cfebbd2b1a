/**
 * The bench: `npm run bench -- SCENARIO`. Every run ends with one JSON line.
 *
 * @module
 */
import process from "node:process";
import { runOverhead } from "./overhead.ts";
import { killAll } from "./process_launcher.ts";

async function run(): Promise<void> {
  const [scenario] = process.argv.slice(2);
  if (scenario !== "overhead") throw new Error("unknown scenario");
  process.stdout.write(`${JSON.stringify(await runOverhead())}\n`);
}

run().catch((error) => {
  killAll();
  process.stderr.write(
    `bench: ${error instanceof Error ? error.stack : error}\n`,
  );
  process.exitCode = 1;
});
