/**
 * The settings of one entry.
 *
 * @module
 */
import type { SettingsFault, SettingsSource } from "@mangoreach/shared";
import { connectionLimitsSchema, parseSettings } from "@mangoreach/shared";
import type { Result } from "true-myth";
import * as z from "zod";

const IP_ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\])$/;
const IP_AND_PORT = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const NAME = /^[a-z][a-z0-9_-]{0,63}$/;
const MIN_KEY_LENGTH = 16;
const HOUR = 3_600_000;

const nameSchema = z.string().regex(
  NAME,
  "a name of lower-case letters, digits, _ and -",
);
const remoteSchema = z.string().regex(IP_AND_PORT, "an ip:port");
const keySchema = z.string().min(MIN_KEY_LENGTH);
const millis = (min: number, max: number) => z.number().int().min(min).max(max);

const listenSchema = z.strictObject({
  host: z.string().regex(IP_ADDRESS, "an IP number"),
  port: z.number().int().min(0).max(65_535),
});

const limitsSchema = z.strictObject({
  maxBodyBytes: z.number().int().min(1_024).max(16_777_216).default(1_048_576)
    .describe("Larger bodies are refused with 413"),
  maxHeaderBytes: z.number().int().min(1_024).max(65_536).default(16_384)
    .describe("Larger headers are refused with 431"),
  requestTimeoutMs: millis(100, 600_000).default(10_000)
    .describe("Senders that take longer for headers and body are cut off"),
  maxConnections: z.number().int().min(1).max(100_000).default(4_000)
    .describe("Connections from callers at once"),
  maxInProgress: z.number().int().min(1).max(100_000).default(2_000)
    .describe("Requests worked on at once; more are refused"),
  maxRemembered: z.number().int().min(1).max(10_000_000).default(200_000)
    .describe("Non-idempotent requests remembered, about 1 KB each"),
}).prefault({});

const timingSchema = z.strictObject({
  exchangeMs: millis(50, 60_000).default(2_000)
    .describe("Time between two exchanges with peers"),
  suspectMs: millis(100, 600_000).default(8_000)
    .describe("A peer silent for this long is not named to callers"),
  loseMs: millis(200, 600_000).default(20_000)
    .describe("A peer silent for this long counts as gone"),
  instanceListMs: millis(50, 60_000).default(1_000)
    .describe("Time between two readings of the instance list"),
  loadReportMs: millis(50, 60_000).default(500)
    .describe("Time between two readings of an engine's load, at least"),
  leavingMarkMs: millis(100, 600_000).default(10_000)
    .describe("How long a peer's guess that an endpoint leaves holds"),
  bindingMs: millis(1_000, HOUR).default(300_000)
    .describe("How long an id may be bound to this entry"),
  claimWindowMs: millis(1_000, HOUR).default(300_000)
    .describe("How old a dated id may be; the log keeps records twice as long"),
  carryForwardMs: millis(100, 24 * HOUR).default(HOUR)
    .describe("The configuration is copied in the log at least this often"),
  drainMs: millis(0, 600_000).default(10_000)
    .describe("How long a leaving entry serves callers with old answers"),
  shutdownMs: millis(100, 600_000).default(30_000)
    .describe("Longest time a stop waits for requests in progress"),
  lingerMs: millis(0, 600_000).default(3_000)
    .describe("How long an engine goes on generating without a reader"),
  leaseMs: millis(500, 600_000).default(10_000)
    .describe("Duration of a lease for orders to an engine"),
  pausedHolderMs: millis(0, 600_000).default(5_000)
    .describe(
      "Wait for a paused holder before ordering engines without fencing",
    ),
}).prefault({});

const settingsShape = z.strictObject({
  entry: nameSchema.describe("Name of this entry, unique at the site"),
  place: nameSchema.describe("The place that this instance is in"),
  dataCentre: nameSchema.describe("The data centre that this instance is in"),
  callerAddress: listenSchema.describe("Where callers connect"),
  controlAddress: listenSchema
    .describe("Where peers and operators connect; not for callers"),
  logAddress: remoteSchema.describe("The platform's log service"),
  instanceListAddress: remoteSchema.describe("The platform's instance list"),
  weightStoreAddress: remoteSchema.describe("The platform's weight store"),
  siteKey: keySchema
    .describe(
      "Shared by all entries: peers prove themselves, tokens are signed",
    ),
  operatorKey: keySchema.describe("Operators prove themselves with it"),
  accounts: z.array(z.strictObject({
    name: nameSchema,
    key: keySchema,
  })).min(1).describe("Keys of the client accounts"),
  peers: z.array(remoteSchema).default([])
    .describe("Control addresses to ask while the instance list is away"),
  limits: limitsSchema,
  connections: connectionLimitsSchema.prefault({})
    .describe("What peers can make the process hold"),
  timing: timingSchema,
  logLevel: z.enum(["silent", "error", "warn", "info", "debug"])
    .default("info"),
  policy: z.enum(["mangoreach", "round_robin", "least_in_flight"])
    .default("mangoreach")
    .describe("For the bench only: the baselines to compare with"),
  placesModels: z.boolean().default(true)
    .describe("Whether this entry takes part in ordering engines"),
});

/** The settings of one entry. */
export type EntrySettings = z.infer<typeof settingsShape>;

/** The schema, including checks that span several settings. */
export const entrySettingsSchema: z.ZodType<EntrySettings> = settingsShape
  .superRefine(checkCombinations);

function checkCombinations(
  settings: EntrySettings,
  context: z.RefinementCtx,
): void {
  const { timing, callerAddress, controlAddress, siteKey, operatorKey } =
    settings;
  const report = (path: (string | number)[], message: string) =>
    context.addIssue({ code: "custom", path, message });
  if (timing.loseMs <= timing.suspectMs) {
    report(["timing", "loseMs"], "more than timing.suspectMs");
  }
  if (timing.suspectMs <= 2 * timing.exchangeMs) {
    report(["timing", "suspectMs"], "more than twice timing.exchangeMs");
  }
  const isSamePort = callerAddress.port !== 0 &&
    callerAddress.port === controlAddress.port &&
    callerAddress.host === controlAddress.host;
  if (isSamePort) {
    report(["controlAddress"], "an address other than callerAddress");
  }
  if (siteKey === operatorKey) {
    report(["operatorKey"], "a key other than siteKey");
  }
  const seen = new Set<string>();
  settings.accounts.forEach(({ name }, i) => {
    if (seen.has(name)) {
      report(["accounts", i, "name"], "a name that no other account has");
    }
    seen.add(name);
  });
}

/** Parses and validates settings. */
export function parseEntrySettings(
  source: SettingsSource,
): Result<EntrySettings, SettingsFault[]> {
  return parseSettings(entrySettingsSchema, source);
}
