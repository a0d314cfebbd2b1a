/**
 * Work on a fixed number of slots, first come, first served.
 *
 * @module
 */

/** Slots with a queue in front. */
export interface SlotQueue {
  readonly running: number;
  readonly queued: number;
  /** Resolves when a slot is free; the slot must be given back. */
  acquire(): Promise<void>;
  release(): void;
}

/** Creates a queue before `slots` slots. */
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
