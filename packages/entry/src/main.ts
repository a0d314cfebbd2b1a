/**
 * The program `mangoreach-entry`.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import {
  createErrorRecorder,
  createLogger,
  createSystemClock,
  formatSettingsFault,
  handleProcessErrors,
  handleSignals,
} from "@mangoreach/shared";
import { startEntry } from "./entry.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { parseEntrySettings } from "./entry_settings.ts";

const VERSION = "0.1.0";
const USAGE = `Usage: mangoreach-entry --settings FILE [--check]

Starts an entry, which accepts the requests of a mangoreach site's callers.

  --settings FILE  settings, JSON with comments
  --check          check the settings and exit
  --version        print the version
  --help           print this text

Exit status: 0 stopped gracefully, 1 failed or cut requests off,
2 wrong usage or settings.
`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const UNIQUE_BYTES = 8;

/** Reads the command line; undefined when there is nothing to start. */
function readCommandLine(): EntrySettings | undefined {
  const { values } = parseArgs({
    options: {
      settings: { type: "string" },
      check: { type: "boolean" },
      version: { type: "boolean" },
      help: { type: "boolean" },
    },
  });
  if (values.help) return void process.stdout.write(USAGE);
  if (values.version) return void process.stdout.write(`${VERSION}\n`);
  if (values.settings === undefined) return failUsage(USAGE);
  const text = readFileSync(values.settings, "utf8");
  const settings = parseEntrySettings({ file: values.settings, text });
  if (settings.isErr) {
    return failUsage(settings.error.map(formatSettingsFault).join("\n") + "\n");
  }
  if (!values.check) return settings.value;
  return void process.stdout.write(`${values.settings}: good\n`);
}

function failUsage(message: string): undefined {
  process.stderr.write(message);
  process.exitCode = EXIT_USAGE;
  return undefined;
}

async function run(settings: EntrySettings): Promise<void> {
  const logger = createLogger({
    process: settings.entry,
    level: settings.logLevel,
  });
  const clock = createSystemClock();
  const errors = createErrorRecorder({
    clock,
    logger: logger.forPart("entry"),
  });
  handleProcessErrors(errors);
  let isStopping = false;
  const entry = await startEntry({
    settings,
    clock,
    logger,
    random: Math.random,
    createUniqueText: () => randomBytes(UNIQUE_BYTES).toString("hex"),
    onDrain: handleStop,
  });
  process.stdout.write(`${
    JSON.stringify({
      entry: settings.entry,
      callers: entry.callerAddress,
      control: entry.controlAddress,
    })
  }\n`);

  async function stop(): Promise<void> {
    if (isStopping) {
      // A second signal skips the graceful shutdown.
      const cutOff = entry.status.inProgress;
      logger.forPart("entry").warn(
        "Entry stopped without waiting for requests.",
        { cutOff },
      );
      entry.kill();
      process.exit(cutOff === 0 ? 0 : EXIT_FAILED);
    }
    isStopping = true;
    const cutOff = await entry.stop();
    process.exit(cutOff === 0 ? 0 : EXIT_FAILED);
  }

  function handleStop(): void {
    stop().catch((error) => {
      errors.record("stop", error);
      process.exit(EXIT_FAILED);
    });
  }

  handleSignals({
    onStop: handleStop,
    // Settings are read at the start only.
    onReload: () => errors.record("signal", "SIGHUP"),
    onIgnored: (signal) => errors.record("signal", signal),
  });
}

try {
  const settings = readCommandLine();
  if (settings !== undefined) {
    run(settings).catch((error) => {
      process.stderr.write(`mangoreach-entry: ${error}\n`);
      process.exit(EXIT_FAILED);
    });
  }
} catch (error) {
  failUsage(
    `mangoreach-entry: ${error instanceof Error ? error.message : error}\n`,
  );
}
