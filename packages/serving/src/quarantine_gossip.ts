/**
 * Shares between entries which request contents are quarantined.
 *
 * Each trait of requests has a few aggregators: entries to which all others
 * report the crashes with it, so that crashes seen at different entries add up.
 * Gossip with one peer every half second would take seconds, while such a
 * request crashes about one endpoint a second. Before a quarantine begins, an
 * aggregator asks all entries what they know of its traits: a part of a prompt
 * that only happened to be there has completed at some of them. Aggregators also
 * count the crashes that others write to the platform's store, as an entry may
 * be cut off from its peers. A new quarantine is sent to all entries and written
 * to the platform's store, from which entries read it that start later, with the
 * crashes that do not amount to one yet. Peers gossip it too, as messages may be
 * lost and the store may be unavailable.
 *
 * @module
 */
import type {
  CrashedRun,
  Membership,
  PeerRecord,
  PoisonQuarantine,
  QuarantinedContent,
  RecentCompletions,
  SuspectedCause,
} from "@mangoreach/coordination";
import {
  isPartTrait,
  isStaying,
  listByRendezvous,
} from "@mangoreach/coordination";
import type {
  CauseQuery,
  CauseReply,
  CrashedRunRow,
  PoisonUpdate,
  RunReport,
  RunReportReply,
} from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { Result } from "true-myth";
import { createCrashRecords } from "./crash_records.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { QuarantineStore } from "./quarantine_store.ts";
import type { TopicRecord } from "./platform_interfaces.ts";

/** Options of {@linkcode createQuarantineGossip}. */
export interface QuarantineGossipOptions {
  clock: Clock;
  /** Milliseconds since 1970; may jump. */
  readWallTime: () => Millis;
  random: () => number;
  log: DecisionLog;
  quarantine: PoisonQuarantine;
  completions: RecentCompletions;
  store: QuarantineStore;
  membership: Pick<Membership, "self" | "list">;
  /** Reports runs to a peer; resolves with undefined if it did not answer. */
  report: (
    address: string,
    report: RunReport,
  ) => Promise<RunReportReply | undefined>;
  /** Asks a peer about causes; resolves with undefined if it did not answer. */
  checkCauses: (
    address: string,
    query: CauseQuery,
  ) => Promise<CauseReply | undefined>;
  signal: AbortSignal;
}

/** Shares quarantines with peers and the store, for one entry. */
export interface QuarantineGossip {
  /** Records a crash locally and reports it to the aggregators. */
  recordCrash(run: CrashedRun): void;
  /** Records a completed run; reports its contents that were suspected here. */
  recordCompletion(traits: readonly string[]): void;
  /** Aggregates a peer's report; the reply lists contents quarantined here. */
  answer(report: RunReport): RunReportReply;
  /** Answers what is known here about suspected causes. */
  answerCauses(query: CauseQuery): CauseReply;
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
const AGGREGATORS_PER_TRAIT = 3;
/**
 * Batch window of reports. Runs at one endpoint end together, and an entry then
 * sends each peer one report. A caller that resends at once may crash one more
 * endpoint within the window.
 */
const BATCH_WINDOW: Millis = 20;
/** Reports of peers come first, as their ages depend on no wall clock. */
const STORED_DELAY: Millis = 200;
/**
 * Older crashes in the store are not counted by themselves: a restored store is
 * read again, and completions since then may be forgotten.
 */
const MAX_STORED_AGE: Millis = 30_000;
/** Later parts that may be the causes are decided and known by then. */
const AMBIGUOUS_DELAY: Millis = 400;
/** Maximum length of each list in a report to a peer. */
const MAX_REPORT_ROWS = 256;
/** Causes in one question to the other entries; more wait for the next. */
const MAX_CAUSES = 64;
const MAX_UPDATE_CONTENTS = 8;
/** Maximum number of republished quarantines, those of the last 30 s. */
const MAX_REPUBLISHED = 64;
const STORE_RETRY_DELAY: Millis = 500;
/** Quarantines last some minutes at least. */
const EXPIRY_CHECK_INTERVAL: Millis = 30_000;

interface PendingReport {
  ended: CrashedRunRow[];
  completed: string[];
}

/** Creates the gossip of one entry. */
export function createQuarantineGossip(
  options: QuarantineGossipOptions,
): QuarantineGossip {
  const { clock, random, log, quarantine, store, membership, signal } = options;
  const { completions } = options;
  /** By the control address of the peer. */
  let pending = new Map<string, PendingReport>();
  /** Causes that the next question to the other entries is about, by trait. */
  const suspects = new Map<string, SuspectedCause>();
  let isChecking = false;
  const startedAt = clock.now();
  /** Traits of crashes that were read from the store and are not counted yet. */
  const noted = new Set<string>();
  const crashRecords = createCrashRecords({
    clock,
    readWallTime: options.readWallTime,
    entry: membership.self.entry,
    write: (record) => void writeStore(() => store.writeCrash(record)),
    onRead: noteStoredCrash,
    isResponsible: (entry) => {
      const [responsible] = listAggregators(entry);
      return responsible !== undefined && isSelf(responsible);
    },
  });

  function recordCrash(run: CrashedRun): void {
    // Its cause is known; other requests that it cut are not to blame.
    if (quarantine.listQuarantined(run.traits).length > 0) {
      quarantine.noteExplained(run.endpointKey);
      return;
    }
    for (const trait of run.traits) recordTrait(trait, run);
    if (run.traits.length > 0) crashRecords.add(run);
  }

  function recordTrait(trait: string, run: CrashedRun): void {
    // Only aggregators count crashes: others do not learn that the content
    // completed elsewhere.
    if (listAggregators(trait).some(isSelf)) countCrash(trait, run);
    else if (!isPartTrait(trait)) {
      quarantine.recordSuspected({ content: trait, age: run.endedAgo });
    }
    const row = { ...run, content: trait, traits: [...run.traits] };
    for (const { ended } of listPendingReports(trait)) {
      if (ended.length < MAX_REPORT_ROWS) ended.push(row);
    }
  }

  function countCrash(trait: string, run: CrashedRun): void {
    const cause = quarantine.recordCrash(trait, run);
    recordCount(trait, run);
    handleCause(cause);
  }

  /**
   * Crashes from before this process started count with the next one only: what
   * has completed since is not known here.
   */
  function noteStoredCrash(run: CrashedRun): void {
    quarantine.noteCrash(run);
    const age = clock.now() - startedAt;
    if (run.endedAgo > Math.min(age, MAX_STORED_AGE)) return;
    if (noted.size === 0) clock.startTimer(STORED_DELAY, countNoted);
    run.traits.forEach((trait) => noted.add(trait));
  }

  function countNoted(): void {
    const traits = [...noted].filter(quarantine.hasEnoughCrashes);
    noted.clear();
    for (const trait of traits) {
      if (!listAggregators(trait).some(isSelf)) continue;
      const cause = quarantine.recordNoted(trait);
      const crashes = quarantine.countCrashes(trait);
      log.record("crash_counted", { trait, crashes, source: "store" });
      handleCause(cause);
    }
  }

  function handleCause(cause: SuspectedCause | undefined): void {
    if (cause === undefined) return;
    if (cause.isAmbiguous) {
      clock.startTimer(AMBIGUOUS_DELAY, () => addSuspect(cause));
    } else addSuspect(cause);
  }

  /** A first crash tells nothing about a trait. */
  function recordCount(trait: string, { endpointKey }: CrashedRun): void {
    const crashes = quarantine.countCrashes(trait);
    if (crashes < 2) return;
    log.record("crash_counted", { trait, crashes, endpoint: endpointKey });
  }

  function addSuspect(cause: SuspectedCause): void {
    suspects.set(cause.trait, cause);
    if (isChecking) return;
    isChecking = true;
    // Other runs at the endpoint are reported within the batch window.
    clock.startTimer(BATCH_WINDOW, () => void checkSuspects());
  }

  /** Asks all entries about the suspected causes, then decides. */
  async function checkSuspects(): Promise<void> {
    while (suspects.size > 0) {
      const causes = [...suspects.values()].slice(0, MAX_CAUSES);
      causes.forEach(({ trait }) => suspects.delete(trait));
      const query = {
        causes: causes.map(({ traits, endpointKeys, age }) => ({
          traits,
          endpointKeys,
          age,
        })),
      };
      const addresses = listOthers().map(({ controlAddress }) =>
        controlAddress
      );
      const replies = await Promise.all(
        addresses.map((address) => options.checkCauses(address, query)),
      );
      const known = [...replies, handleQuery(query)];
      causes.forEach((cause, index) => {
        const about = known.flatMap((reply) => reply?.causes[index] ?? []);
        handleQuarantined(quarantine.confirmCause(cause, {
          completed: about.flatMap(({ completed }) => completed),
          explained: about.flatMap(({ explained }) => explained),
        }));
      });
    }
    isChecking = false;
  }

  function handleQuery({ causes }: CauseQuery): CauseReply {
    return {
      causes: causes.map(({ traits, endpointKeys, age }) => ({
        completed: completions.listCompleted(traits, age),
        explained: quarantine.listExplained(endpointKeys),
      })),
    };
  }

  function recordCompletion(traits: readonly string[]): void {
    completions.record(traits);
    const { suspected, released } = quarantine.recordCompletion(traits);
    released.forEach(handleReleased);
    // Whether parts have completed is asked for before they are blamed.
    for (const trait of suspected.filter((one) => !isPartTrait(one))) {
      for (const { completed } of listPendingReports(trait)) {
        if (completed.length < MAX_REPORT_ROWS) completed.push(trait);
      }
    }
  }

  function handleReleased(content: string): void {
    log.record("quarantine_changed", { content, outcome: "completed" });
    void writeStore(() => store.remove(content));
  }

  function listOthers(): PeerRecord[] {
    return membership.list().filter(isStaying).map(({ record }) => record);
  }

  /** Lists the aggregators of a trait, this entry possibly among them. */
  function listAggregators(trait: string): PeerRecord[] {
    return listByRendezvous([membership.self, ...listOthers()], {
      key: trait,
      readName: ({ entry }) => entry,
    }).slice(0, AGGREGATORS_PER_TRAIT);
  }

  function isSelf({ entry }: PeerRecord): boolean {
    return entry === membership.self.entry;
  }

  /** Lists the pending reports to the other aggregators of a trait. */
  function listPendingReports(trait: string): PendingReport[] {
    return listAggregators(trait)
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

  function handleReport(
    { ended, completed, quarantined = [] }: RunReport,
  ): RunReportReply {
    quarantined.forEach((found) => mergeQuarantined(found, "peer"));
    // The entry that saw the completion has its other traits.
    completed.forEach((content) => {
      quarantine.recordCompletion([content]).released.forEach(handleReleased);
    });
    for (const { content, traits = [content], ...run } of ended) {
      countCrash(content, { ...run, traits });
    }
    // The sender may have missed a quarantine that already began.
    return {
      quarantined: ended.flatMap(({ content, traits = [content] }) =>
        quarantine.listQuarantined(traits)
      ),
    };
  }

  function handleQuarantined(found: QuarantinedContent | undefined): void {
    if (found === undefined) return;
    recordChange(found, "found");
    void writeStore(() => store.publish(found));
    const report = { ended: [], completed: [], quarantined: [found] };
    for (const { controlAddress } of listOthers()) {
      void sendReport(controlAddress, report);
    }
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
      if (decoded.kind === "crash") {
        crashRecords.apply(decoded.record);
        continue;
      }
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
    crashRecords.republish();
  }

  async function releaseExpired(): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(EXPIRY_CHECK_INTERVAL, signal);
      for (const content of quarantine.releaseExpired()) {
        log.record("quarantine_changed", { content, outcome: "lapsed" });
        const isAggregator = listAggregators(content).some(isSelf);
        if (isAggregator) void writeStore(() => store.remove(content));
      }
      crashRecords.removeExpired();
    }
  }

  return {
    recordCrash,
    recordCompletion,
    answer: handleReport,
    answerCauses: handleQuery,
    applyRecords,
    readUpdate,
    applyUpdate,
    republish,
    releaseExpired,
  };
}
