/**
 * A fixed number of slots with a first-in, first-out queue.
 *
 * @module
 */

/** Slots and the queue of work that waits for them. */
export interface SlotQueue {
  readonly running: number;
  readonly queued: number;
  /** Resolves when a slot is acquired; the caller must release it. */
  acquire(): Promise<void>;
  release(): void;
}

/** Creates a queue for `slots` slots. */
export function createSlotQueue(slots: number): SlotQueue {
  const waiting: (() => void)[] = [];
  let running = 0;
  return {
    get running() {
      return running;
    },
    get queued() {
      return waiting.length;
    },
    acquire() {
      if (running < slots) {
        running++;
        return Promise.resolve();
      }
      return new Promise((resolve) => waiting.push(resolve));
    },
    release() {
      const next = waiting.shift();
      if (next === undefined) running--;
      else next();
    },
  };
}
