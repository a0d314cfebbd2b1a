/**
 * `npm run bench -- control`: measures what an entry spends on peers, log,
 * instance list, load reports and leases while it receives no requests.
 *
 * @module
 */
import { createSystemClock } from "@mangoreach/shared";
import { readProcessUsage } from "./process_usage.ts";
import { runProgram } from "./programs.ts";
import { launchSite } from "./site_launcher.ts";
import { readDeployment } from "./site_plan.ts";

const SETTLE_MS = 8_000;
const MEASURE_MS = 20_000;

/** Runs the measurement; returns the values of the JSON line. */
export async function runControlCost(
  deploymentName: string,
): Promise<Record<string, unknown>> {
  const clock = createSystemClock();
  const deployment = readDeployment(deploymentName);
  const site = await launchSite({
    deployment,
    logLevel: "warn",
    sharesProcesses: true,
  });
  try {
    await runProgram("mangoreachctl", [
      "publish",
      deployment.configFile,
      "--settings",
      site.operatorSettingsFile,
    ]);
    await clock.sleep(SETTLE_MS);
    const read = () =>
      site.entries.map(({ process }) => readProcessUsage(process.pid));
    const before = read();
    const startedAt = clock.now();
    await clock.sleep(MEASURE_MS);
    const after = read();
    const seconds = (clock.now() - startedAt) / 1_000;
    const mean = (values: number[]) =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    const bytes = after.map((usage, i) =>
      usage.transferredBytes - before[i]!.transferredBytes
    );
    const cpu = after.map((usage, i) =>
      usage.cpuSeconds - before[i]!.cpuSeconds
    );
    return {
      scenario: "control",
      deployment: deploymentName,
      entries: site.entries.length,
      seconds: Math.round(seconds),
      kb_per_s: Number((mean(bytes) / seconds / 1_000).toFixed(2)),
      core_share: Number((mean(cpu) / seconds).toFixed(4)),
      resident_mb: Math.round(
        mean(after.map((usage) => usage.residentBytes)) / 1_048_576,
      ),
    };
  } finally {
    await site.stop();
  }
}
