/**
 * A priority queue of work that waits for an endpoint. The order is: the
 * highest priority; among equal priorities the class furthest below its target;
 * within a class the client account with the least work in progress; within an
 * account the oldest work.
 *
 * @module
 */

/** A class of work, as published by operators. */
export interface WorkClass {
  name: string;
  /** 1 is the highest. */
  priority: number;
  /**
   * Share of requests that must be answered completely and in time, from 0 to
   * 1.
   */
  target: number;
}

/** An item of queued work. */
export interface QueuedWork {
  workClass: WorkClass;
  account: string;
}

/** The work queue of one pool. */
export interface WorkQueue<W extends QueuedWork> {
  readonly size: number;
  add(work: W): void;
  remove(work: W): void;
  /**
   * Returns the next work without removing it; undefined if the queue is empty.
   */
  peek(): W | undefined;
  /** Counts the work that goes before new work of `priority`. */
  countAhead(priority: number): number;
  /** Counts the queued work of exactly this priority. */
  countAtPriority(priority: number): number;
}

/** Options of {@linkcode createWorkQueue}. */
export interface WorkQueueOptions {
  /** Returns the recent share of a class that was answered in time. */
  estimateAttainment: (className: string) => number;
  /** Returns the number of an account's requests in progress in this pool. */
  countInProgress: (account: string) => number;
}

interface ClassQueue<W> {
  workClass: WorkClass;
  size: number;
  accounts: Map<string, Set<W>>;
}

/** Creates an empty queue. */
export function createWorkQueue<W extends QueuedWork>(
  { estimateAttainment, countInProgress }: WorkQueueOptions,
): WorkQueue<W> {
  const classes = new Map<string, ClassQueue<W>>();
  let size = 0;

  function add(work: W): void {
    const { workClass, account } = work;
    let queue = classes.get(workClass.name);
    if (queue === undefined) {
      queue = { workClass, size: 0, accounts: new Map() };
      classes.set(workClass.name, queue);
    }
    // Priorities may change with the configuration while the queue persists.
    queue.workClass = workClass;
    const waiting = queue.accounts.get(account);
    if (waiting === undefined) queue.accounts.set(account, new Set([work]));
    else waiting.add(work);
    queue.size++;
    size++;
  }

  function remove(work: W): void {
    const queue = classes.get(work.workClass.name);
    const waiting = queue?.accounts.get(work.account);
    if (queue === undefined || !waiting?.delete(work)) return;
    queue.size--;
    size--;
    if (waiting.size === 0) queue.accounts.delete(work.account);
    if (queue.size === 0) classes.delete(work.workClass.name);
  }

  function peek(): W | undefined {
    const queue = chooseClass();
    const waiting = queue && chooseAccount(queue);
    return waiting?.values().next().value;
  }

  function chooseClass(): ClassQueue<W> | undefined {
    let chosen: ClassQueue<W> | undefined;
    for (const queue of classes.values()) {
      if (chosen === undefined || isBefore(queue, chosen)) chosen = queue;
    }
    return chosen;
  }

  function isBefore(a: ClassQueue<W>, b: ClassQueue<W>): boolean {
    if (a.workClass.priority !== b.workClass.priority) {
      return a.workClass.priority < b.workClass.priority;
    }
    return computeShortfall(a.workClass) > computeShortfall(b.workClass);
  }

  function computeShortfall({ name, target }: WorkClass): number {
    return target - estimateAttainment(name);
  }

  function chooseAccount({ accounts }: ClassQueue<W>): Set<W> | undefined {
    let chosen: Set<W> | undefined;
    let least = Infinity;
    for (const [account, waiting] of accounts) {
      const inProgress = countInProgress(account);
      if (inProgress >= least) continue;
      least = inProgress;
      chosen = waiting;
    }
    return chosen;
  }

  function countAhead(priority: number): number {
    let ahead = 0;
    for (const { workClass, size } of classes.values()) {
      if (workClass.priority <= priority) ahead += size;
    }
    return ahead;
  }

  function countAtPriority(priority: number): number {
    let same = 0;
    for (const { workClass, size } of classes.values()) {
      if (workClass.priority === priority) same += size;
    }
    return same;
  }

  return {
    get size() {
      return size;
    },
    add,
    remove,
    peek,
    countAhead,
    countAtPriority,
  };
}
