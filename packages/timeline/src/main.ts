/**
 * The command-line tool `mangoreach-timeline`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import type { OperatorSettings } from "@mangoreach/operators";
import { operatorSettingsSchema } from "@mangoreach/operators";
import type { EventKind, TimelineEvent } from "@mangoreach/shared";
import {
  createSystemClock,
  formatCausalTime,
  formatSettingsFault,
  parseSettings,
} from "@mangoreach/shared";
import type { SiteAccess } from "@mangoreach/ctl";
import { createSiteAccess } from "@mangoreach/ctl";
import type { EventFilter } from "./merge.ts";
import { formatEvent, matchesFilter, mergeTimelines } from "./merge.ts";

const VERSION = "0.1.0";
const USAGE = `Usage: mangoreach-timeline --settings FILE [OPTIONS]

Prints one time line of events over all entries, in causal order.

  --request ID     only this request
  --endpoint ID    only this endpoint
  --process NAME   only this entry
  --kind KIND      only this kind of event
  --follow         go on printing new events
  --json           NDJSON instead of lines for people
  --check          check the settings and exit
  --version, --help

Exit status: 0 done, 1 no entry answered, 2 wrong usage or settings.
`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const FOLLOW_INTERVAL_MS = 1_000;
const RED = "\u001b[31m";
const YELLOW = "\u001b[33m";
const RESET = "\u001b[0m";
const ERROR_KINDS: readonly EventKind[] = [
  "stage_failed",
  "stage_result_dropped",
  "config_rejected",
  "peer_lost",
  "lease_lost",
  "claim_lost",
];
const WARNING_KINDS: readonly EventKind[] = [
  "request_refused",
  "request_cancelled",
  "endpoint_ejected",
  "endpoint_leaving",
  "process_stopping",
  "order_refused",
];

function readOptions() {
  return parseArgs({
    options: {
      settings: { type: "string" },
      request: { type: "string" },
      endpoint: { type: "string" },
      process: { type: "string" },
      kind: { type: "string" },
      follow: { type: "boolean", default: false },
      json: { type: "boolean", default: false },
      check: { type: "boolean", default: false },
      version: { type: "boolean", default: false },
      help: { type: "boolean", default: false },
    },
  }).values;
}

type Options = ReturnType<typeof readOptions>;

function formatKind(kind: EventKind, text: string): string {
  if (!process.stdout.isTTY) return text;
  if (ERROR_KINDS.includes(kind)) return `${RED}${text}${RESET}`;
  return WARNING_KINDS.includes(kind) ? `${YELLOW}${text}${RESET}` : text;
}

async function readEvents(site: SiteAccess): Promise<TimelineEvent[]> {
  const entries = await site.listEntries();
  const timelines = await Promise.all(
    entries.map(({ address }) => site.entries.readTimeline(address)),
  );
  const answered = timelines.flatMap((timeline) =>
    timeline.isOk ? [timeline.value] : []
  );
  if (answered.length === 0) process.exitCode = EXIT_FAILED;
  return mergeTimelines(answered);
}

function printEvents(events: readonly TimelineEvent[], { json }: Options) {
  for (const event of events) {
    const line = json ? JSON.stringify(event) : formatEvent(event, formatKind);
    process.stdout.write(`${line}\n`);
  }
}

async function print(site: SiteAccess, options: Options): Promise<void> {
  const filter: EventFilter = {
    request: options.request,
    endpoint: options.endpoint,
    process: options.process,
    kind: options.kind,
  };
  const printed = new Set<string>();
  do {
    const events = (await readEvents(site)).filter((event) =>
      matchesFilter(event, filter) && !printed.has(formatEventId(event))
    );
    for (const event of events) printed.add(formatEventId(event));
    printEvents(events, options);
    if (options.follow) await site.clock.sleep(FOLLOW_INTERVAL_MS);
  } while (options.follow);
}

function formatEventId({ process, time }: TimelineEvent): string {
  return `${process} ${formatCausalTime(time)}`;
}

function readSettings(file: string): OperatorSettings | undefined {
  const text = readFileSync(file, "utf8");
  const parsed = parseSettings(operatorSettingsSchema, { file, text });
  if (parsed.isOk) return parsed.value;
  process.stderr.write(`${parsed.error.map(formatSettingsFault).join("\n")}\n`);
  process.exitCode = EXIT_USAGE;
  return undefined;
}

async function run(): Promise<void> {
  const options = readOptions();
  if (options.help) return void process.stdout.write(USAGE);
  if (options.version) return void process.stdout.write(`${VERSION}\n`);
  if (options.settings === undefined) {
    process.stderr.write(USAGE);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const settings = readSettings(options.settings);
  if (settings === undefined) return;
  if (options.check) {
    return void process.stdout.write(`${options.settings}: good\n`);
  }
  const site = createSiteAccess(settings, createSystemClock());
  await print(site, options);
  await site.close();
}

run().catch((error) => {
  process.stderr.write(
    `${error instanceof Error ? error.message : String(error)}\n`,
  );
  process.exitCode = EXIT_USAGE;
});
