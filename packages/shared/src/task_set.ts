/**
 * Tracks asynchronous tasks (one for each connection and each peer), so that a
 * graceful shutdown can wait for them.
 *
 * @module
 */

/** A set of running tasks. */
export interface TaskSet {
  readonly size: number;
  /** Adds a task; its rejection is passed to `onError`. */
  add(task: Promise<unknown>): void;
  /** Resolves when no task is left. */
  waitUntilEmpty(): Promise<void>;
}

/** Creates an empty set of tasks. */
export function createTaskSet(onError: (error: unknown) => void): TaskSet {
  const tasks = new Set<Promise<unknown>>();
  function add(task: Promise<unknown>): void {
    const tracked = task.catch(onError).finally(() => tasks.delete(tracked));
    tasks.add(tracked);
  }
  async function waitUntilEmpty(): Promise<void> {
    while (tasks.size > 0) await Promise.all(tasks);
  }
  return {
    get size() {
      return tasks.size;
    },
    add,
    waitUntilEmpty,
  };
}
