/**
 * Continuous batching of the stand-in engine: in each runStep every running
 * sequence advances by some tokens, and a runStep takes longer the more run.
 *
 * @module
 */
import type { CancelTimer, Clock, Millis } from "@mangoreach/shared";
import { deriveTokens } from "./derive.ts";

/** How fast an engine is. */
export interface EngineTimes {
  /** Sequences in the batch at most. */
  slots: number;
  /** Time of a runStep without sequences. */
  stepMs: Millis;
  /** Added to a runStep by each running sequence. */
  perSequenceMs: Millis;
  tokensPerStep: number;
  /** Prefill time for 1,000 characters of prompt. */
  prefillPerThousandMs: Millis;
}

/** A sequence in the engine. */
export interface Sequence {
  id: string;
  priority: number;
  arrival: number;
  prefix: string;
  tokens: string[];
  /** Tokens generated so far. */
  generated: number;
  prefillLeft: Millis;
  /** Told after each runStep in which tokens came. */
  onProgress: () => void;
}

/** The batch of one engine. */
export interface EngineBatch {
  readonly running: number;
  readonly queued: number;
  add(sequence: Sequence): void;
  remove(sequence: Sequence): void;
}

/** Options of {@linkcode createEngineBatch}. */
export interface EngineBatchOptions {
  clock: Clock;
  times: EngineTimes;
  /** Multiplies the time of a runStep; for the fault switch. */
  readSlowFactor: () => number;
  /** Told the slot-seconds of each runStep. */
  onBusy: (seconds: number) => void;
}

/** Creates an empty batch. */
export function createEngineBatch(
  { clock, times, readSlowFactor, onBusy }: EngineBatchOptions,
): EngineBatch {
  const queue: Sequence[] = [];
  const running = new Set<Sequence>();
  let stopTimer: CancelTimer | undefined;

  function add(sequence: Sequence): void {
    queue.push(sequence);
    queue.sort((a, b) => a.priority - b.priority || a.arrival - b.arrival);
    admitWaiting();
    if (stopTimer === undefined) startStep();
  }

  function remove(sequence: Sequence): void {
    running.delete(sequence);
    const position = queue.indexOf(sequence);
    if (position >= 0) queue.splice(position, 1);
    admitWaiting();
  }

  function admitWaiting(): void {
    while (running.size < times.slots && queue.length > 0) {
      running.add(queue.shift()!);
    }
  }

  function computeStep(): Millis {
    const time = times.stepMs + times.perSequenceMs * running.size;
    return time * readSlowFactor();
  }

  function startStep(): void {
    const duration = computeStep();
    const dueAt = clock.now() + duration;
    stopTimer = clock.startTimer(duration, () => {
      stopTimer = undefined;
      // A timer that fires late must not make the engine slower than it is.
      const late = Math.max(0, clock.now() - dueAt);
      runStep(duration > 0 ? 1 + Math.floor(late / duration) : 1, duration);
      if (running.size > 0) startStep();
    });
  }

  function runStep(steps: number, duration: Millis): void {
    onBusy(running.size * steps * duration / 1_000);
    for (const sequence of [...running]) {
      sequence.prefillLeft -= steps * duration;
      if (sequence.prefillLeft > 0) continue;
      sequence.generated = Math.min(
        sequence.tokens.length,
        sequence.generated + steps * times.tokensPerStep,
      );
      const isDone = sequence.generated === sequence.tokens.length;
      if (isDone) running.delete(sequence);
      sequence.onProgress();
    }
    admitWaiting();
  }

  return {
    get running() {
      return running.size;
    },
    get queued() {
      return queue.length;
    },
    add,
    remove,
  };
}

/** Derives the tokens of a sequence. */
export function createSequenceTokens(
  prompt: string,
  maxTokens: number,
): string[] {
  return deriveTokens(prompt, maxTokens);
}
