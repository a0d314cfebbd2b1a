/**
 * The configuration stream of the log: its records, and a publish operation
 * that tolerates lost append responses.
 *
 * @module
 */
import type {
  ConfigFold,
  ConfigInForce,
  ConfigRecord,
  Failure,
} from "@mangoreach/coordination";
import { createConfigFold, createFailure } from "@mangoreach/coordination";
import type { LogClient, LogRecord } from "@mangoreach/log";
import type { Clock, Millis } from "@mangoreach/shared";
import { Result } from "true-myth";
import * as z from "zod";
import type { ConfigDocument } from "./config_document.ts";
import { configDocumentSchema } from "./config_document.ts";

const recordBase = {
  publishId: z.string().min(1),
  author: z.string(),
  config: configDocumentSchema,
};

const configRecordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("publish"),
    basedOn: z.number().int().min(0),
    ...recordBase,
  }),
  z.object({
    kind: z.literal("carry_forward"),
    version: z.number().int().min(1),
    asOf: z.number().int(),
    ...recordBase,
  }),
]);

/** A configuration in force, as entries send it to each other. */
export const configInForceSchema = z.object({
  version: z.number().int().min(1),
  asOf: z.number().int(),
  ...recordBase,
});

/** A record of the configuration stream. */
export type ConfigStreamRecord = ConfigRecord<ConfigDocument>;

/** A configuration in force. */
export type ActiveConfig = ConfigInForce<ConfigDocument>;

/**
 * Parses a record; undefined if it is malformed. Every reader skips the same
 * malformed records, so all readers compute the same configuration.
 */
export function parseConfigRecord(
  value: unknown,
): ConfigStreamRecord | undefined {
  const parsed = configRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** The outcome of a publish. */
export type PublishOutcome =
  | { kind: "in_force"; version: number }
  /** Another publish came first; no part of this one is in force. */
  | { kind: "conflict"; inForce: ActiveConfig }
  /** The log did not confirm in time; retrying with the same id is safe. */
  | { kind: "unknown"; failure: Failure };

/** Options of {@linkcode publishConfig}. */
export interface PublishOptions {
  clock: Clock;
  log: LogClient;
  /** Unique to this publish; a retry uses the same id. */
  publishId: string;
  author: string;
  basedOn: number;
  config: ConfigDocument;
  /** How long to look for a record whose append response was lost. */
  timeoutMs: Millis;
}

/**
 * Publishes a configuration so that it takes effect at most once per publish id.
 * The log is searched for the id before the record is appended, and read
 * afterwards until the outcome is found, even if the append response was lost.
 */
export async function publishConfig(
  options: PublishOptions,
): Promise<PublishOutcome> {
  const { clock, log, timeoutMs, publishId } = options;
  const record: ConfigStreamRecord = {
    kind: "publish",
    publishId,
    author: options.author,
    basedOn: options.basedOn,
    config: options.config,
  };
  const before = await readConfigState(log);
  if (before.isOk) {
    const existing = findOutcome(before.value, publishId);
    if (existing !== undefined) return existing;
  }
  const ack = await log.append("config", record);
  if (ack.isErr && ack.error.verdict === "not_run") {
    return { kind: "unknown", failure: ack.error };
  }
  const giveUpAt = clock.now() + timeoutMs;
  let failure = ack.isErr ? ack.error : createUnconfirmedFailure();
  while (clock.now() < giveUpAt) {
    const state = await readConfigState(log);
    const outcome = state.isOk
      ? findOutcome(state.value, publishId)
      : undefined;
    if (outcome !== undefined) return outcome;
    if (state.isErr) failure = state.error;
    await clock.sleep(READ_INTERVAL);
  }
  return { kind: "unknown", failure };
}

const READ_INTERVAL: Millis = 100;

/** The state of the configuration according to the log. */
export interface ConfigState {
  fold: ConfigFold<ConfigDocument>;
  /** The outcome of each publish that was read, by publish id. */
  outcomes: Map<string, PublishOutcome>;
}

function findOutcome(
  { outcomes }: ConfigState,
  publishId: string,
): PublishOutcome | undefined {
  return outcomes.get(publishId);
}

/** Reads and folds the complete configuration stream. */
export async function readConfigState(
  log: LogClient,
): Promise<Result<ConfigState, Failure>> {
  const fold = createConfigFold<ConfigDocument>();
  const outcomes = new Map<string, PublishOutcome>();
  const signal = new AbortController().signal;
  for (let next = 0;;) {
    const page = await log.read("config", { from: next, waitMs: 0, signal });
    if (page.isErr) return Result.err(page.error);
    if (page.value.first > next) fold.startFrom(page.value.first);
    for (const record of page.value.records) {
      applyRecord(record, { fold, outcomes });
    }
    if (page.value.records.length === 0) return Result.ok({ fold, outcomes });
    next = page.value.next;
  }
}

function applyRecord(
  { offset, value }: LogRecord,
  { fold, outcomes }: ConfigState,
): void {
  const record = parseConfigRecord(value);
  if (record === undefined) return;
  const outcome = fold.apply(record, { offset });
  const { inForce } = fold;
  if (record.kind !== "publish" || inForce === undefined) return;
  if (outcome === "in_force") {
    outcomes.set(record.publishId, {
      kind: "in_force",
      version: inForce.version,
    });
  } else if (outcome === "rejected" && !outcomes.has(record.publishId)) {
    outcomes.set(record.publishId, { kind: "conflict", inForce });
  }
}

function createUnconfirmedFailure(): Failure {
  return createFailure("unavailable", {
    verdict: "may_have_run",
    message: "the record was appended but could not be read back in time",
  });
}
