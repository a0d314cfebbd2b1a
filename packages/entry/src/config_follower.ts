/**
 * Tracks the configuration in force: follows the log, accepts newer versions
 * from peers, and republishes the configuration in the log before its record
 * expires.
 *
 * @module
 */
import type { ConfigFold, FoldOutcome } from "@mangoreach/coordination";
import { createConfigFold } from "@mangoreach/coordination";
import type { LogClient, LogRecord, TailEvent } from "@mangoreach/log";
import { startLogTail } from "@mangoreach/log";
import type {
  ActiveConfig,
  ConfigDocument,
  ConfigStreamRecord,
} from "@mangoreach/operators";
import { parseConfigRecord } from "@mangoreach/operators";
import type { Millis } from "@mangoreach/shared";
import type { EntryContext } from "./entry_context.ts";
import type { SiteConfig } from "./site_config.ts";
import { createSiteConfig } from "./site_config.ts";

/** The configuration of an entry. */
export interface ConfigFollower {
  /** Undefined before the first configuration. */
  readonly site: SiteConfig | undefined;
  readonly active: ActiveConfig | undefined;
  readonly isLogReachable: boolean;
  /** Applies a peer's configuration if it is newer. */
  adopt(config: ActiveConfig): void;
  /** The tasks that follow the log and republish the configuration. */
  readonly tasks: Promise<void>[];
}

/** Options of {@linkcode startConfigFollower}. */
export interface ConfigFollowerOptions {
  log: LogClient;
  onChange: (site: SiteConfig) => void;
}

/** Starts to follow the configuration. */
export function startConfigFollower(
  context: EntryContext,
  { log, onChange }: ConfigFollowerOptions,
): ConfigFollower {
  const { clock, metrics, timeline, random, signal } = context;
  const logger = context.logger.forPart("config");
  const fold = createConfigFold<ConfigDocument>();
  let site: SiteConfig | undefined;
  let isLogReachable = false;
  /** When the version in force was last written to the log. */
  let writtenAt: Millis = clock.now();

  function handleOutcome(outcome: FoldOutcome, author: string): void {
    const { inForce } = fold;
    if (outcome === "rejected") {
      timeline.record("config_rejected", { detail: author });
      logger.warn("Rejected a conflicting configuration.", { author });
    }
    if (inForce === undefined || inForce.version === site?.version) return;
    site = createSiteConfig(inForce);
    metrics.setConfigVersion(inForce.version);
    timeline.record("config_in_force", { detail: String(inForce.version) });
    logger.info("Configuration in force.", { version: inForce.version });
    onChange(site);
  }

  function applyRecord({ offset, time, value }: LogRecord): void {
    const record = parseConfigRecord(value);
    if (record === undefined) {
      logger.warn("Skipped a malformed configuration record.", { offset });
      return;
    }
    handleOutcome(fold.apply(record, { offset }), record.author);
    if (record.publishId === fold.inForce?.publishId) writtenAt = time;
  }

  function handleEvent(event: TailEvent): void {
    const wasReachable = isLogReachable;
    isLogReachable = event.kind !== "away";
    metrics.setLogReachable(isLogReachable);
    if (event.kind === "trimmed") fold.startFrom(event.first);
    if (event.kind === "record") applyRecord(event.record);
    if (wasReachable !== isLogReachable) {
      logger.info(
        isLogReachable
          ? "The log is available again."
          : "The log is unavailable.",
      );
    }
  }

  function adopt(config: ActiveConfig): void {
    handleOutcome(fold.applyPeerConfig(config), config.author);
  }

  const tail = startLogTail({
    clock,
    log,
    stream: "config",
    from: 0,
    signal,
    random,
  });
  const following = tail.events.observe(handleEvent);
  const republishing = republishPeriodically(context, {
    log,
    fold,
    readWrittenAt: () => writtenAt,
  });

  return {
    get site() {
      return site;
    },
    get active() {
      return fold.inForce;
    },
    get isLogReachable() {
      return isLogReachable;
    },
    adopt,
    tasks: [tail.task, following.then(() => undefined), republishing],
  };
}

interface RepublishOptions {
  log: LogClient;
  fold: ConfigFold<ConfigDocument>;
  readWrittenAt: () => Millis;
}

/**
 * Republishes the configuration in force before its record in the log expires.
 *
 * The log retains records for a limited time, so without a copy an entry that
 * starts later would find no configuration. Each entry waits a random time and
 * checks the age of the record again, so that usually only one entry writes.
 * Readers ignore late and duplicate copies.
 */
async function republishPeriodically(
  { clock, settings, random, signal, incarnation, logger }: EntryContext,
  { log, fold, readWrittenAt }: RepublishOptions,
): Promise<void> {
  const interval = settings.timing.carryForwardMs;
  while (!signal.aborted) {
    await clock.sleep(interval * (0.1 + random() / 4), signal);
    if (signal.aborted) return;
    const isDue = clock.now() - readWrittenAt() >= interval;
    const record = isDue ? createCopy(fold, incarnation) : undefined;
    if (record === undefined) continue;
    const ack = await log.append("config", record);
    const outcome = ack.isOk ? "Republished." : "Could not republish.";
    logger.forPart("config").info(outcome, { version: fold.inForce?.version });
  }
}

/**
 * Creates a copy of the configuration in force. Returns undefined when this entry
 * may have missed records.
 */
function createCopy(
  fold: ConfigFold<ConfigDocument>,
  author: string,
): ConfigStreamRecord | undefined {
  const { inForce, asOf, isComplete } = fold;
  if (inForce === undefined || !isComplete) return undefined;
  return {
    kind: "carry_forward",
    publishId: inForce.publishId,
    author,
    version: inForce.version,
    asOf,
    config: inForce.config,
  };
}
