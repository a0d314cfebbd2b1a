/**
 * A `most` stream that code pushes values into, used for the log tail, the
 * instance list, load reports and peer state.
 *
 * @module
 */
import type { Disposable, Scheduler, Sink } from "most";
import { Stream } from "most";

/** A stream together with its writing end. */
export interface Subject<T> {
  readonly stream: Stream<T>;
  /** Emits `value` to every observer, in the order of their subscriptions. */
  push(value: T): void;
  /** Ends the stream for all observers; later values are discarded. */
  end(): void;
}

interface Observer<T> {
  sink: Sink<T>;
  scheduler: Scheduler;
}

/**
 * Creates a hot stream: observers get the values pushed after they subscribe.
 */
export function createSubject<T>(): Subject<T> {
  const observers = new Set<Observer<T>>();
  let hasEnded = false;

  function run(sink: Sink<T>, scheduler: Scheduler): Disposable<T> {
    const observer = { sink, scheduler };
    if (hasEnded) sink.end(scheduler.now());
    else observers.add(observer);
    return {
      dispose() {
        observers.delete(observer);
      },
    };
  }

  function push(value: T): void {
    for (const { sink, scheduler } of observers) {
      sink.event(scheduler.now(), value);
    }
  }

  function end(): void {
    hasEnded = true;
    for (const { sink, scheduler } of observers) sink.end(scheduler.now());
    observers.clear();
  }

  return { stream: new Stream<T>({ run }), push, end };
}
