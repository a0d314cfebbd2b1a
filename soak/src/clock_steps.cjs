/**
 * Preloaded into a process: its wall clock stands some minutes off, and steps
 * forward and back while the process runs.
 */
const STEP_MS = 300_000;
const INTERVAL_MS = 700;
const { now } = Date;
const startedAt = now();

Date.now = () => {
  const steps = Math.floor((now() - startedAt) / INTERVAL_MS);
  return now() + (steps % 3 - 1) * STEP_MS;
};
