/**
 * Shares between entries which request contents are quarantined.
 *
 * Each content has a few aggregators: entries to which all others report its
 * crashes and completions, so that crashes seen at different entries add up.
 * Gossip with one peer every half second would take seconds, while such a
 * request crashes about one endpoint a second. A new quarantine is written to
 * the platform's store, from which all entries read it, also those that start
 * later. Peers gossip it too, as the store may be unavailable.
 *
 * @module
 */
import type {
  CrashedRun,
  Membership,
  PeerRecord,
  PoisonQuarantine,
  QuarantinedContent,
} from "@mangoreach/coordination";
import { listByRendezvous } from "@mangoreach/coordination";
import type {
  PoisonUpdate,
  RunReport,
  RunReportReply,
} from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import type { DecisionLog } from "./decision_log.ts";
import type { QuarantineStore } from "./quarantine_store.ts";
import type { TopicRecord } from "./platform_interfaces.ts";

/** Options of {@linkcode createQuarantineGossip}. */
export interface QuarantineGossipOptions {
  clock: Clock;
  random: () => number;
  log: DecisionLog;
  quarantine: PoisonQuarantine;
  store: QuarantineStore;
  membership: Pick<Membership, "self" | "list">;
  /** Reports runs to a peer; resolves with undefined if it did not answer. */
  report: (
    address: string,
    report: RunReport,
  ) => Promise<RunReportReply | undefined>;
  signal: AbortSignal;
}

/** Shares quarantines with peers and the store, for one entry. */
export interface QuarantineGossip {
  /** Records a crash locally and reports it to the aggregators. */
  recordCrash(run: CrashedRun): void;
  /** Records a completed run; reports it if the content was suspected here. */
  recordCompletion(content: string): void;
  /** Aggregates a peer's report; the reply lists contents quarantined by it. */
  answer(report: RunReport): RunReportReply;
  /** Applies records of the store; records about something else are ignored. */
  applyRecords(records: readonly TopicRecord[]): void;
  /** Returns the update to gossip; undefined if there is nothing to send. */
  readUpdate(): PoisonUpdate | undefined;
  applyUpdate(update: PoisonUpdate): void;
  /** Writes the records again that a restored store may lack. */
  republish(): void;
  /** Releases contents whose quarantine expired; ends with the signal. */
  releaseExpired(): Promise<void>;
}

/** One aggregator may be frozen, and another partitioned or not yet known. */
const AGGREGATORS_PER_CONTENT = 3;
/**
 * Batch window of reports. Runs at one endpoint end together, and an entry then
 * sends each peer one report. A caller that resends at once may crash one more
 * endpoint within the window.
 */
const BATCH_WINDOW: Millis = 20;
/** Maximum length of each list in a report to a peer. */
const MAX_REPORT_ROWS = 256;
const MAX_UPDATE_CONTENTS = 8;
/** Maximum number of republished quarantines, those of the last 30 s. */
const MAX_REPUBLISHED = 64;
const STORE_RETRY_DELAY: Millis = 500;
/** Quarantines last some minutes at least. */
const EXPIRY_CHECK_INTERVAL: Millis = 30_000;

interface PendingReport {
  ended: CrashedRun[];
  completed: string[];
}

/** Creates the gossip of one entry. */
export function createQuarantineGossip(
  options: QuarantineGossipOptions,
): QuarantineGossip {
  const { clock, random, log, quarantine, store, membership, signal } = options;
  /** By the control address of the peer. */
  let pending = new Map<string, PendingReport>();

  function recordCrash(run: CrashedRun): void {
    const { content, endedAgo } = run;
    // Only aggregators count crashes: others do not learn that the content
    // completed elsewhere.
    if (listAggregators(content).some(isSelf)) {
      handleQuarantined(quarantine.recordCrash(run));
    } else {
      quarantine.recordSuspected({ content, age: endedAgo });
    }
    for (const { ended } of listPendingReports(run.content)) {
      if (ended.length < MAX_REPORT_ROWS) ended.push(run);
    }
  }

  function recordCompletion(content: string): void {
    if (!handleCompleted(content)) return;
    for (const { completed } of listPendingReports(content)) {
      if (completed.length < MAX_REPORT_ROWS) completed.push(content);
    }
  }

  /** Lists the aggregators of a content, this entry possibly among them. */
  function listAggregators(content: string): PeerRecord[] {
    const others = membership.list()
      .filter(({ health, record }) =>
        health === "alive" && record.state !== "leaving"
      )
      .map(({ record }) => record);
    return listByRendezvous([membership.self, ...others], {
      key: content,
      readName: ({ entry }) => entry,
    }).slice(0, AGGREGATORS_PER_CONTENT);
  }

  function isSelf({ entry }: PeerRecord): boolean {
    return entry === membership.self.entry;
  }

  /** Lists the pending reports to the other aggregators of a content. */
  function listPendingReports(content: string): PendingReport[] {
    return listAggregators(content)
      .filter((record) => !isSelf(record))
      .map(({ controlAddress }) => findPendingReport(controlAddress));
  }

  function findPendingReport(address: string): PendingReport {
    if (pending.size === 0) clock.startTimer(BATCH_WINDOW, sendPendingReports);
    const existing = pending.get(address) ?? { ended: [], completed: [] };
    pending.set(address, existing);
    return existing;
  }

  function sendPendingReports(): void {
    const reports = pending;
    pending = new Map();
    for (const [address, { ended, completed }] of reports) {
      // Adds the time that the run waited for the batch window.
      const aged = ended.map((run) => ({
        ...run,
        sentAgo: run.sentAgo + BATCH_WINDOW,
        endedAgo: run.endedAgo + BATCH_WINDOW,
      }));
      void sendReport(address, { ended: aged, completed });
    }
  }

  async function sendReport(address: string, report: RunReport): Promise<void> {
    const reply = await options.report(address, report);
    reply?.quarantined.forEach((found) => mergeQuarantined(found, "peer"));
  }

  function handleReport({ ended, completed }: RunReport): RunReportReply {
    completed.forEach(handleCompleted);
    return {
      quarantined: ended.flatMap((run) => {
        const found = quarantine.recordCrash(run);
        handleQuarantined(found);
        return found === undefined ? [] : [found];
      }),
    };
  }

  function handleQuarantined(found: QuarantinedContent | undefined): void {
    if (found === undefined) return;
    recordChange(found, "found");
    void writeStore(() => store.publish(found));
  }

  /** Returns whether it was suspected here. */
  function handleCompleted(content: string): boolean {
    const wasQuarantined = quarantine.readTimeLeft(content) > 0;
    const wasSuspected = quarantine.recordCompletion(content);
    if (wasQuarantined) {
      log.record("quarantine_changed", { content, outcome: "completed" });
      void writeStore(() => store.remove(content));
    }
    return wasSuspected;
  }

  function mergeQuarantined(
    found: QuarantinedContent,
    source: "peer" | "store",
  ): void {
    if (quarantine.mergeQuarantined(found)) recordChange(found, source);
  }

  function recordChange(
    { content, endpointKeys, term }: QuarantinedContent,
    source: "found" | "peer" | "store",
  ): void {
    log.record("quarantine_changed", {
      content,
      endpoints: endpointKeys,
      term,
      source,
      outcome: "turned_away",
    });
  }

  /** Retries until written: only the store outlives this process. */
  async function writeStore(
    write: () => Promise<Result<null, string>>,
  ): Promise<void> {
    while (!signal.aborted) {
      const written = await write();
      if (written.isOk) return;
      log.record("dependency_lost", {
        dependency: "quarantine",
        reason: written.error,
      });
      await clock.sleep(STORE_RETRY_DELAY * (0.5 + random()), signal);
    }
  }

  function applyRecords(records: readonly TopicRecord[]): void {
    for (const record of records) {
      const decoded = store.decode(record);
      if (decoded === undefined) continue;
      const { content, quarantined } = decoded;
      if (quarantined !== undefined) mergeQuarantined(quarantined, "store");
      else quarantine.release(content);
    }
  }

  function readUpdate(): PoisonUpdate | undefined {
    if (quarantine.isEmpty()) return undefined;
    const quarantined = quarantine.chooseQuarantined(MAX_UPDATE_CONTENTS);
    const suspected = quarantine.chooseSuspected(MAX_UPDATE_CONTENTS);
    const isEmpty = quarantined.length + suspected.length === 0;
    return isEmpty ? undefined : { quarantined, suspected };
  }

  function applyUpdate({ quarantined, suspected }: PoisonUpdate): void {
    quarantined.forEach((found) => mergeQuarantined(found, "peer"));
    suspected.forEach(quarantine.recordSuspected);
  }

  /**
   * Covers the quarantines that are still gossiped; older ones have been in the
   * store for long, and thus in its copy.
   */
  function republish(): void {
    for (const found of quarantine.chooseQuarantined(MAX_REPUBLISHED)) {
      const isAggregator = listAggregators(found.content).some(isSelf);
      if (isAggregator) void writeStore(() => store.publish(found));
    }
  }

  async function releaseExpired(): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(EXPIRY_CHECK_INTERVAL, signal);
      for (const content of quarantine.releaseExpired()) {
        log.record("quarantine_changed", { content, outcome: "lapsed" });
        const isAggregator = listAggregators(content).some(isSelf);
        if (isAggregator) void writeStore(() => store.remove(content));
      }
    }
  }

  return {
    recordCrash,
    recordCompletion,
    answer: handleReport,
    applyRecords,
    readUpdate,
    applyUpdate,
    republish,
    releaseExpired,
  };
}
