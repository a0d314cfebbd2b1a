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
  const root = pino({
    level,
    base: { process },
    redact: [...SECRET_FIELDS, ...SECRET_FIELDS.map((field) => `*.${field}`)],
  }, destination({ dest, ...WRITE_BUFFER }));
  return wrapLogger(root);
}

/** Creates a log that discards everything; for tests and embedding. */
export function createSilentLogger(): Logger {
  return wrapLogger(pino({ level: "silent" }));
}

function wrapLogger(logger: PinoLogger): Logger {
  return {
    error: (message, fields = {}) => logger.error(fields, message),
    warn: (message, fields = {}) => logger.warn(fields, message),
    info: (message, fields = {}) => logger.info(fields, message),
    debug: (message, fields = {}) => logger.debug(fields, message),
    forPart: (part) =>
      wrapLogger(logger.child({ part }, { msgPrefix: `${part}: ` })),
  };
}
