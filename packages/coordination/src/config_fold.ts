/**
 * Decides which published configuration is in force, identically at every
 * reader.
 *
 * A publish names the version that it is based on. The first one in log order
 * that is based on the version in force wins; the others are rejected. Versions
 * only increase, so nothing that arrives late can revert a configuration.
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
    /**
     * A copy of the configuration in force, written before the original
     * expires.
     */
    kind: "carry_forward";
    publishId: string;
    author: string;
    version: number;
    /** The last offset that was applied to reach this version. */
    asOf: number;
    config: T;
  };

/** The configuration in force. */
export interface ConfigInForce<T> {
  version: number;
  publishId: string;
  author: string;
  /** The last offset applied when this state was captured. */
  asOf: number;
  config: T;
}

/** The effect of a record. */
export type FoldOutcome = "in_force" | "rejected" | "ignored";

/** The position of a record in the log. */
export interface LogPosition {
  offset: number;
}

/** The fold of one reader over the configuration stream. */
export interface ConfigFold<T> {
  readonly inForce: ConfigInForce<T> | undefined;
  /** The last offset applied; -1 before the first record. */
  readonly asOf: number;
  /**
   * Whether publishes can be decided; only a reader that can do so carries the
   * configuration forward.
   */
  readonly isComplete: boolean;
  /** Starts reading at `offset` because older records have expired. */
  startFrom(offset: number): void;
  apply(record: ConfigRecord<T>, position: LogPosition): FoldOutcome;
  /**
   * Applies a peer's configuration in force if it is newer; used while the log
   * is unavailable.
   */
  applyPeerConfig(state: ConfigInForce<T>): FoldOutcome;
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
   * The offset at which reading started, set while this reader cannot decide
   * about publishes. A reader that starts after older records have expired may
   * see a publish without the one that won against it; two readers would then
   * have different configurations under the same version. So publishes are held
   * back here until a base covers everything that was missed.
   */
  let gapBefore: number | undefined;
  let pending: PendingPublish<T>[] = [];

  function startFrom(offset: number): void {
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

  function applyPeerConfig(state: ConfigInForce<T>): FoldOutcome {
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
    startFrom,
    apply,
    applyPeerConfig,
  };
}
