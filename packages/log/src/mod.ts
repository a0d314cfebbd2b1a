/**
 * The platform's log service: append, read from an offset, follow.
 *
 * @module
 */
export type { LogClient, LogClientOptions, ReadOptions } from "./log_client.ts";
export { createLogClient } from "./log_client.ts";
export type { LogTail, LogTailOptions, TailEvent } from "./log_tail.ts";
export { startLogTail } from "./log_tail.ts";
export type { AppendAck, LogPage, LogRecord, LogStream } from "./records.ts";
