/**
 * Installs the packages when they are missing or older than the lock file.
 * Plain JavaScript, because nothing is installed yet when it runs.
 */
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import process from "node:process";

const MARK = "node_modules/.package-lock.json";
const LOCK = "package-lock.json";

const isInstalled = existsSync(MARK) &&
  statSync(MARK).mtimeMs >= statSync(LOCK).mtimeMs;

if (!isInstalled) {
  console.error("prepare: installing packages");
  const { status } = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", "ignore", "inherit"],
    shell: false,
  });
  process.exitCode = status ?? 1;
}
