/**
 * The read commands of `mangoreachctl`, which are show, status and attainment,
 * and the command drain, which stops one entry gracefully.
 *
 * @module
 */
import type { ClassAttainment } from "@mangoreach/coordination";
import { readConfigState } from "@mangoreach/operators";
import type { CommandResult } from "./command.ts";
import type { EntryStatusResult, SiteAccess } from "./site_access.ts";
import { formatTable } from "./table.ts";

/** Shows the configuration in force. */
export async function runShow(site: SiteAccess): Promise<CommandResult> {
  const state = await readConfigState(site.log);
  if (state.isErr) return fail(state.error.message);
  const { inForce } = state.value.fold;
  if (inForce === undefined) return fail("nothing is in force yet");
  const { version, author, config } = inForce;
  const text = `// version ${version}, published by ${author}\n` +
    `${JSON.stringify(config, null, 2)}\n`;
  return { isSuccess: true, text, json: inForce };
}

/** Shows the state, the version in force and the load of each entry. */
export async function runStatus(site: SiteAccess): Promise<CommandResult> {
  const results = await site.readStatuses();
  const rows = results.map(formatStatusRow);
  const heading = [
    "ENTRY",
    "PLACE",
    "STATE",
    "CONFIG",
    "LOG",
    "IN PROGRESS",
    "PEERS",
  ];
  return {
    isSuccess: results.length > 0 && results.every(({ status }) => status.isOk),
    text: results.length > 0
      ? formatTable(heading, rows)
      : "no entry is listed\n",
    json: results.map(({ entry, address, status }) =>
      status.isOk
        ? status.value
        : { entry, address, error: status.error.message }
    ),
  };
}

function formatStatusRow({ entry, status }: EntryStatusResult): string[] {
  if (status.isErr) return [entry, "", `no answer: ${status.error.message}`];
  const { place, state, isReady, configVersion, isLogReachable, inProgress } =
    status.value;
  const alive = status.value.peers.filter(({ health }) => health === "alive");
  return [
    entry,
    place,
    state === "live" && !isReady ? "starting" : state,
    String(configVersion),
    isLogReachable ? "reachable" : "away",
    String(inProgress),
    `${alive.length} of ${status.value.peers.length}`,
  ];
}

/**
 * Shows attainment by class and cost by pool, over all entries that respond.
 */
export async function runAttainment(
  site: SiteAccess,
): Promise<CommandResult> {
  const [results, state] = await Promise.all([
    site.readStatuses(),
    readConfigState(site.log),
  ]);
  const statuses = results.flatMap(({ status }) =>
    status.isOk ? [status.value] : []
  );
  const classes = sumClasses(statuses.flatMap(({ attainment }) => attainment));
  const published = state.isOk ? state.value.fold.inForce?.config.classes : [];
  const targets = new Map(published?.map((c) => [c.name, c.target]));
  const classRows = classes.map((c) => [
    c.className,
    String(c.offered),
    formatShare(c.offered === 0 ? 1 : c.inTime / c.offered),
    formatShare(targets.get(c.className)),
    String(c.refused),
    String(c.late),
    String(c.failed),
  ]);
  const costs = sumCosts(statuses.flatMap(({ pools }) => pools));
  const inTime = classes.reduce((sum, c) => sum + c.inTime, 0);
  const costRows = costs.map(({ pool, useful, wasted }) => [
    pool,
    (useful / Math.max(1, inTime)).toFixed(4),
    wasted.toFixed(2),
  ]);
  const text = formatTable(CLASS_HEADING, classRows) + "\n" +
    formatTable(COST_HEADING, costRows);
  return { isSuccess: statuses.length > 0, text, json: { classes, costs } };
}

const CLASS_HEADING = [
  "CLASS",
  "OFFERED",
  "ATTAINMENT",
  "TARGET",
  "REFUSED",
  "LATE",
  "FAILED",
];
const COST_HEADING = ["POOL", "SECONDS PER REQUEST IN TIME", "SECONDS WASTED"];

function sumClasses(all: readonly ClassAttainment[]): ClassAttainment[] {
  const sums = new Map<string, ClassAttainment>();
  for (const one of all) {
    const sum = sums.get(one.className);
    if (sum === undefined) {
      sums.set(one.className, { ...one });
      continue;
    }
    sum.offered += one.offered;
    sum.inTime += one.inTime;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
  }
  return [...sums.values()];
}

interface PoolCostSum {
  pool: string;
  useful: number;
  wasted: number;
}

function sumCosts(
  all: readonly {
    pool: string;
    usefulSeconds: number;
    wastedSeconds: number;
  }[],
): PoolCostSum[] {
  const sums = new Map<string, PoolCostSum>();
  for (const { pool, usefulSeconds, wastedSeconds } of all) {
    const sum = sums.get(pool) ?? { pool, useful: 0, wasted: 0 };
    sum.useful += usefulSeconds;
    sum.wasted += wastedSeconds;
    sums.set(pool, sum);
  }
  return [...sums.values()];
}

function formatShare(share: number | undefined): string {
  return share === undefined ? "-" : `${(100 * share).toFixed(2)}%`;
}

/** Requests one entry to stop gracefully. */
export async function runDrain(
  site: SiteAccess,
  entry: string,
): Promise<CommandResult> {
  const found = (await site.listEntries())
    .find((candidate) => candidate.entry === entry);
  if (found === undefined) return fail(`no entry named ${entry} is listed`);
  const drained = await site.entries.drain(found.address);
  if (drained.isErr) return fail(drained.error.message);
  const text = `${entry} leaves; it stops when its requests are done\n`;
  return { isSuccess: true, text, json: { entry, draining: true } };
}

function fail(message: string): CommandResult {
  return { isSuccess: false, text: `${message}\n`, json: { error: message } };
}
