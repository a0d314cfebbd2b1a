/**
 * Logging by pino: short sentences, each with the fixed prefix of its part.
 *
 * @module
 */
import type { Logger as PinoLogger } from "pino";
import { destination, pino } from "pino";

/** The parts of the system that write logs; each name is a prefix. */
export type LogPart =
  | "admission"
  | "callers"
  | "config"
  | "control"
  | "endpoints"
  | "entry"
  | "log"
  | "orders"
  | "peers"
  | "pipeline"
  | "platform"
  | "standin"
  | "streams";

/** The minimum level that is logged. */
export type LogLevel = "silent" | "error" | "warn" | "info" | "debug";

/**
 * Writes log lines; `forPart` returns the same log with the prefix of a part.
 */
export interface Logger {
  error(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  debug(message: string, fields?: Record<string, unknown>): void;
  forPart(part: LogPart): Logger;
}

/** Options of {@linkcode createLogger}. */
export interface LoggerOptions {
  /** The name of this process, on every line. */
  process: string;
  level: LogLevel;
  /** The output; standard error unless nothing else uses standard output. */
  output?: "stdout" | "stderr";
}

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;
/**
 * Lines are written asynchronously, so that a reader that does not read cannot
 * block the process; lines that do not fit into the buffer are dropped. Lines
 * are buffered before a write, as one write costs as much as several lines;
 * the rest is flushed at exit.
 */
const WRITE_BUFFER = {
  minLength: 8_192,
  periodicFlush: 200,
  maxLength: 1_048_576,
  sync: false,
};
const SECRET_FIELDS = ["key", "keys", "authorization", "siteKey", "token"];

/** Creates the log of one process; lines are written as NDJSON. */
export function createLogger(
  { process, level, output = "stderr" }: LoggerOptions,
): Logger {
  const dest = output === "stdout" ? STANDARD_OUTPUT : STANDARD_ERROR;
  const stream = destination({ dest, ...WRITE_BUFFER });
  const { flushSync } = stream;
  // Lines are lost while the output cannot be written. The flush at exit would
  // retry without end.
  stream.on("error", () => stream.flushSync = () => {});
  stream.on("write", () => stream.flushSync = flushSync);
  const options = { level, base: { process } };
  const paths = SECRET_FIELDS.map((field) => `*.${field}`);
  return wrapLogger(
    pino(options, stream),
    pino({ ...options, redact: [...SECRET_FIELDS, ...paths] }, stream),
  );
}

/** Creates a log that discards everything; for tests and embedding. */
export function createSilentLogger(): Logger {
  const silent = pino({ level: "silent" });
  return wrapLogger(silent, silent);
}

/**
 * Wraps two loggers with the same output. The one that redacts secrets takes
 * longer for each line, so it only writes lines that may contain one.
 */
function wrapLogger(plain: PinoLogger, redacting: PinoLogger): Logger {
  function choose(fields: Record<string, unknown>): PinoLogger {
    return mayContainSecret(fields) ? redacting : plain;
  }

  return {
    error: (message, fields = {}) => choose(fields).error(fields, message),
    warn: (message, fields = {}) => choose(fields).warn(fields, message),
    info: (message, fields = {}) => choose(fields).info(fields, message),
    debug: (message, fields = {}) => choose(fields).debug(fields, message),
    forPart(part) {
      const bindings = { part };
      const options = { msgPrefix: `${part}: ` };
      return wrapLogger(
        plain.child(bindings, options),
        redacting.child(bindings, options),
      );
    },
  };
}

/** Whether a secret field is present, or an object that may contain one. */
function mayContainSecret(fields: Record<string, unknown>): boolean {
  for (const name of Object.keys(fields)) {
    const value = fields[name];
    if (SECRET_FIELDS.includes(name)) return true;
    if (typeof value === "object" && value !== null) {
      if (!Array.isArray(value)) return true;
    }
  }
  return false;
}
