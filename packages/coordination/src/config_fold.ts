/**
 * Decides which published configuration is in force, the same at every reader.
 *
 * A publish names the version it is based on. The first in log order that is
 * based on the version in force wins; the others are rejected. Versions only
 * rise, so nothing that arrives late can revert a configuration.
 *
 * @module
 */

/** A record of the configuration stream. */
export type ConfigRecord<T> =
  | {
    kind: "publish";
    publishId: string;
    author: string;
    basedOn: number;
    config: T;
  }
  | {
    /** A copy of what is in force, written before the original expires. */
    kind: "carry_forward";
    publishId: string;
    author: string;
    version: number;
    /** The last offset that had been folded into this version. */
    asOf: number;
    config: T;
  };

/** A configuration in force. */
export interface ConfigInForce<T> {
  version: number;
  publishId: string;
  author: string;
  /** The last offset folded when this state was taken. */
  asOf: number;
  config: T;
}

/** What a record did. */
export type FoldOutcome = "in_force" | "rejected" | "ignored";

/** Where a record stands in the log. */
export interface LogPosition {
  offset: number;
}

/** The fold of one reader. */
export interface ConfigFold<T> {
  readonly inForce: ConfigInForce<T> | undefined;
  /** The last offset folded; -1 before the first record. */
  readonly asOf: number;
  /** Whether publishes can be decided; only such a reader carries forward. */
  readonly isComplete: boolean;
  /** Tells that reading starts at `offset` because older records expired. */
  startAt(offset: number): void;
  apply(record: ConfigRecord<T>, position: LogPosition): FoldOutcome;
  /** Takes what a peer has in force, if that is newer; for log outages. */
  adopt(state: ConfigInForce<T>): FoldOutcome;
}

interface PendingPublish<T> {
  record: ConfigRecord<T> & { kind: "publish" };
  offset: number;
}

/** Creates the fold of a reader that has read nothing. */
export function createConfigFold<T>(): ConfigFold<T> {
  let inForce: ConfigInForce<T> | undefined;
  let asOf = -1;
  /**
   * Set while this reader cannot decide about publishes. A reader that starts
   * after older records expired may see a publish without the one that beat
   * it. It shows as two readers with different configurations under the same
   * version. The guard holds because publishes wait here until a base covers
   * everything that was missed.
   */
  let gapBefore: number | undefined;
  let pending: PendingPublish<T>[] = [];

  function startAt(offset: number): void {
    if (offset <= asOf + 1) return;
    gapBefore = offset;
    pending = [];
    asOf = offset - 1;
  }

  function apply(
    record: ConfigRecord<T>,
    { offset }: LogPosition,
  ): FoldOutcome {
    if (offset <= asOf) return "ignored";
    asOf = offset;
    if (record.kind === "carry_forward") return applyCarryForward(record);
    if (gapBefore === undefined) return applyPublish({ record, offset });
    pending.push({ record, offset });
    return "ignored";
  }

  function applyPublish(
    { record, offset }: PendingPublish<T>,
  ): FoldOutcome {
    if (record.publishId === inForce?.publishId) return "ignored";
    if (record.basedOn !== (inForce?.version ?? 0)) return "rejected";
    return applyState({ ...record, version: record.basedOn + 1, asOf: offset });
  }

  function applyCarryForward(
    record: ConfigRecord<T> & { kind: "carry_forward" },
  ): FoldOutcome {
    const isNewer = record.version > (inForce?.version ?? 0);
    const outcome = isNewer ? applyState(record) : "ignored";
    if (gapBefore !== undefined && record.asOf + 1 >= gapBefore) {
      closeGap(record.asOf);
    }
    return outcome;
  }

  function closeGap(coveredUntil: number): void {
    const waiting = pending;
    gapBefore = undefined;
    pending = [];
    for (const publish of waiting) {
      if (publish.offset > coveredUntil) applyPublish(publish);
    }
  }

  function adopt(state: ConfigInForce<T>): FoldOutcome {
    if (state.version <= (inForce?.version ?? 0)) return "ignored";
    const outcome = applyState(state);
    if (gapBefore !== undefined && state.asOf + 1 >= gapBefore) {
      closeGap(state.asOf);
    }
    if (state.asOf > asOf) asOf = state.asOf;
    return outcome;
  }

  function applyState(state: ConfigInForce<T>): FoldOutcome {
    inForce = {
      version: state.version,
      publishId: state.publishId,
      author: state.author,
      asOf: state.asOf,
      config: state.config,
    };
    return "in_force";
  }

  return {
    get inForce() {
      return inForce;
    },
    get asOf() {
      return asOf;
    },
    get isComplete() {
      return gapBefore === undefined;
    },
    startAt,
    apply,
    adopt,
  };
}
