/**
 * Keeps the configuration in force: follows the log, takes a newer one from
 * peers, and copies it forward in the log before it expires there.
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
  /** Takes what a peer has in force, if it is newer. */
  adopt(config: ActiveConfig): void;
  /** The tasks that follow the log and carry forward. */
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
  /** When the record that holds the version in force was last written. */
  let writtenAt: Millis = clock.now();

  function handleOutcome(outcome: FoldOutcome, author: string): void {
    const { inForce } = fold;
    if (outcome === "rejected") {
      timeline.record("config_rejected", { detail: author });
      logger.warn("Rejected a conflicting publish.", { author });
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
      logger.warn("Passed over a malformed record.", { offset });
      return;
    }
    handleOutcome(fold.apply(record, { offset }), record.author);
    if (record.publishId === fold.inForce?.publishId) writtenAt = time;
  }

  function handleEvent(event: TailEvent): void {
    const wasReachable = isLogReachable;
    isLogReachable = event.kind !== "away";
    metrics.setLogReachable(isLogReachable);
    if (event.kind === "trimmed") fold.startAt(event.first);
    if (event.kind === "record") applyRecord(event.record);
    if (wasReachable !== isLogReachable) {
      logger.info(isLogReachable ? "The log is back." : "The log is away.");
    }
  }

  function adopt(config: ActiveConfig): void {
    handleOutcome(fold.adopt(config), config.author);
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
 * Copies the configuration in force in the log before its record expires.
 *
 * Failure guarded against: the log keeps records for a limited time, so an
 * entry that starts later would find no configuration. Every entry waits a
 * random time first and looks again, so that about one of them writes; a copy
 * that comes late or twice is ignored by every reader's fold.
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
    const outcome = ack.isOk ? "Carried forward." : "Could not carry forward.";
    logger.forPart("config").info(outcome, { version: fold.inForce?.version });
  }
}

/** A copy of what is in force; none by a reader that may have a gap. */
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
