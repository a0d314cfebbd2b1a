/**
 * Lists the played days on which a class or place of callers earned less than its
 * floor, by the entries of the journal. Hunts report broken rules only.
 *
 *     npm run floors -- [REVISION]
 *
 * Reads the days that were played on a revision, by default on HEAD; fails if a
 * floor was missed, or if no day was played.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";
import * as z from "zod";

const JOURNAL = "journal";

const entrySchema = z.object({
  head: z.string().nullish(),
  site: z.string().nullish(),
  days: z.array(z.object({
    name: z.string(),
    // Days that a hunt mixes have none.
    seed: z.number().nullish(),
    short: z.array(z.string()).nullish(),
  })).nullish(),
});

function readRevision(name: string): string {
  return execFileSync("git", ["rev-parse", name], { encoding: "utf8" }).trim();
}

const revision = readRevision(process.argv[2] ?? "HEAD");
let played = 0;
let missed = 0;
for (
  const file of readdirSync(JOURNAL).filter((name) => name.endsWith(".json"))
) {
  const text = readFileSync(`${JOURNAL}/${file}`, "utf8");
  const entry = entrySchema.safeParse(JSON.parse(text));
  if (!entry.success || entry.data.head !== revision) continue;
  for (const { name, seed, short } of entry.data.days ?? []) {
    played++;
    for (const floor of short ?? []) {
      missed++;
      process.stdout.write(
        `${entry.data.site} ${name} ${seed ?? "-"}: ${floor}\n`,
      );
    }
  }
}
process.stdout.write(`${played} days, ${missed} floors missed\n`);
process.exitCode = played > 0 && missed === 0 ? 0 : 1;
