/**
 * Installs the packages if they are missing or older than the lock file.
 * Written in JavaScript because no packages may be installed when it runs.
 */
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import process from "node:process";

const INSTALLED_LOCK = "node_modules/.package-lock.json";
const LOCK = "package-lock.json";

const isInstalled = existsSync(INSTALLED_LOCK) &&
  statSync(INSTALLED_LOCK).mtimeMs >= statSync(LOCK).mtimeMs;

if (!isInstalled) {
  console.error("prepare: installing packages");
  const { status } = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", "ignore", "inherit"],
    shell: false,
  });
  process.exitCode = status ?? 1;
}
