/**
 * Continuous batching of the stand-in engine: in each step every running
 * sequence advances by some tokens; a step takes longer the more sequences run.
 *
 * @module
 */
import type { CancelTimer, Clock, Millis } from "@mangoreach/shared";
import { deriveTokens } from "./derive.ts";

/** The speed of an engine. */
export interface EngineTimes {
  /** Maximum number of sequences in the batch. */
  slots: number;
  /** Time of a step without sequences. */
  stepMs: Millis;
  /** Added to a step by each running sequence. */
  perSequenceMs: Millis;
  tokensPerStep: number;
  /** Prefill time per 1,000 characters of prompt. */
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
  /** Called after each step that generated tokens. */
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
  /** Returns the factor on the time of a step, which is a fault setting. */
  readSlowFactor: () => number;
  /** Called with the slot-seconds of each step. */
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

  function computeStepTime(): Millis {
    const time = times.stepMs + times.perSequenceMs * running.size;
    return time * readSlowFactor();
  }

  function startStep(): void {
    const duration = computeStepTime();
    const scheduledAt = clock.now() + duration;
    stopTimer = clock.startTimer(duration, () => {
      stopTimer = undefined;
      // Runs the missed steps too, so that a late timer does not slow the engine.
      const lateness = Math.max(0, clock.now() - scheduledAt);
      runStep(duration > 0 ? 1 + Math.floor(lateness / duration) : 1, duration);
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
