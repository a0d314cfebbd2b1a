/**
 * The command-line tool `mangoreachctl`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import process from "node:process";
import { parseArgs } from "node:util";
import type { SettingsFault } from "@mangoreach/shared";
import type { ConfigDocument, OperatorSettings } from "@mangoreach/operators";
import {
  configDocumentSchema,
  operatorSettingsSchema,
} from "@mangoreach/operators";
import {
  createSystemClock,
  formatSettingsFault,
  parseSettings,
} from "@mangoreach/shared";
import type * as z from "zod";
import type { CommandResult } from "./command.ts";
import { runPublish } from "./publish_command.ts";
import {
  runAttainment,
  runDrain,
  runShow,
  runStatus,
} from "./read_commands.ts";
import type { SiteAccess } from "./site_access.ts";
import { createSiteAccess } from "./site_access.ts";

const VERSION = "0.1.0";
const USAGE = `Usage: mangoreachctl COMMAND [OPTIONS]

Commands:
  check FILE          check a configuration without publishing it
  publish FILE        publish it and wait until it is in force everywhere
  show                show the configuration in force
  status              show the entries and what is in force where
  attainment          show attainment by class and cost by stage
  drain ENTRY         ask an entry to stop gracefully

Options:
  --settings FILE     how to reach the site (all commands but check)
  --json              one JSON line instead of text
  --dry-run           publish: show the difference to what is in force
  --based-on VERSION  publish: the version that you looked at
  --publish-id ID     publish: try again under the id that was printed
  --author NAME       publish: who publishes; default is the login name
  --wait MS           publish: how long to wait; default 10000
  --check             check the settings and exit
  --version, --help

Exit status: 0 done, 1 failed, 2 wrong usage, settings or configuration.
`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const DEFAULT_WAIT = "10000";

/** An error in the command line or in a file; the exit status is 2. */
class UsageError extends Error {}

function readOptions() {
  return parseArgs({
    allowPositionals: true,
    options: {
      settings: { type: "string" },
      json: { type: "boolean", default: false },
      "dry-run": { type: "boolean", default: false },
      "based-on": { type: "string" },
      "publish-id": { type: "string" },
      author: { type: "string" },
      wait: { type: "string", default: DEFAULT_WAIT },
      check: { type: "boolean", default: false },
      version: { type: "boolean", default: false },
      help: { type: "boolean", default: false },
    },
  });
}

type Options = ReturnType<typeof readOptions>["values"];

function loadValidated<T>(schema: z.ZodType<T>, file: string): T {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new UsageError(
      error instanceof Error ? error.message : String(error),
    );
  }
  const parsed = parseSettings(schema, { file, text });
  if (parsed.isOk) return parsed.value;
  throw new UsageError(formatFaults(parsed.error));
}

function formatFaults(faults: readonly SettingsFault[]): string {
  return faults.map(formatSettingsFault).join("\n");
}

function readConfig(file: string | undefined): ConfigDocument {
  if (file === undefined) {
    throw new UsageError("a configuration file is needed");
  }
  return loadValidated<ConfigDocument>(configDocumentSchema, file);
}

function readSettings({ settings }: Options): OperatorSettings {
  if (settings === undefined) throw new UsageError("--settings is needed");
  return loadValidated<OperatorSettings>(operatorSettingsSchema, settings);
}

function readCount(text: string | undefined, option: string) {
  if (text === undefined) return undefined;
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new UsageError(`${option} must be a number, found "${text}"`);
}

async function runCommand(
  [command, argument]: readonly (string | undefined)[],
  options: Options,
): Promise<CommandResult> {
  if (command === "check") {
    readConfig(argument);
    return {
      isSuccess: true,
      text: `${argument}: good\n`,
      json: { good: true },
    };
  }
  const runSite = SITE_COMMANDS[command ?? ""];
  if (runSite === undefined) throw new UsageError(USAGE);
  const site = createSiteAccess(readSettings(options), createSystemClock());
  try {
    return await runSite(site, { argument, options });
  } finally {
    await site.close();
  }
}

type SiteCommand = (
  site: SiteAccess,
  call: { argument: string | undefined; options: Options },
) => Promise<CommandResult>;

const SITE_COMMANDS: Record<string, SiteCommand> = {
  publish: (site, { argument, options }) =>
    runPublish(site, {
      config: readConfig(argument),
      author: options.author ?? userInfo().username,
      basedOn: readCount(options["based-on"], "--based-on"),
      publishId: options["publish-id"],
      isDryRun: options["dry-run"],
      waitMs: readCount(options.wait, "--wait") ?? 0,
    }),
  show: runShow,
  status: runStatus,
  attainment: runAttainment,
  drain: (site, { argument }) => {
    if (argument === undefined) throw new UsageError("drain needs an entry");
    return runDrain(site, argument);
  },
};

async function run(): Promise<void> {
  const { values: options, positionals } = readOptions();
  if (options.help) return void process.stdout.write(USAGE);
  if (options.version) return void process.stdout.write(`${VERSION}\n`);
  if (options.check) {
    readSettings(options);
    return void process.stdout.write(`${options.settings}: good\n`);
  }
  const result = await runCommand(positionals, options);
  process.stdout.write(
    options.json ? `${JSON.stringify(result.json)}\n` : result.text,
  );
  process.exitCode = result.isSuccess ? 0 : EXIT_FAILED;
}

run().catch((error) => {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`${message}\n`);
  const isUsage = error instanceof UsageError ||
    (error instanceof TypeError && "code" in error);
  process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILED;
});
