/**
 * Handles the signals of a process.
 *
 * @module
 */
import process from "node:process";

/** Options of {@linkcode handleSignals}. */
export interface SignalHandlers {
  /** Called for each signal to stop; it may come again. */
  onStop: () => void;
  /** Called when the settings file has changed. */
  onReload: () => void;
  /** Called for signals that mean nothing here. */
  onIgnored: (signal: string) => void;
}

/** Signals to stop. */
export const STOP_SIGNALS = ["SIGTERM", "SIGINT", "SIGQUIT"] as const;
/**
 * Their default action ends the process, or for SIGUSR1 opens a port for
 * debuggers. The launcher has the same list.
 */
export const IGNORED_SIGNALS = [
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGPROF",
  "SIGIO",
  "SIGPWR",
  "SIGSTKFLT",
  "SIGXCPU",
] as const;

/** Handles signals from now on. */
export function handleSignals(
  { onStop, onReload, onIgnored }: SignalHandlers,
): void {
  for (const signal of STOP_SIGNALS) process.on(signal, onStop);
  process.on("SIGHUP", onReload);
  for (const signal of IGNORED_SIGNALS) {
    process.on(signal, () => onIgnored(signal));
  }
}
