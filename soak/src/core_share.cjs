/**
 * Gives a process a share of a core: node soak/src/core_share.cjs PID SHARE. A
 * process of its own, as the timers of a busy one are late.
 */
"use strict";

const process = require("node:process");

const PERIOD_MS = 40;

const [, , pid, share] = process.argv;
const stoppedMs = (1 - Number(share)) * PERIOD_MS;

function signalProcess(signal) {
  try {
    process.kill(Number(pid), signal);
  } catch {
    // The process has ended.
    process.exit();
  }
}

setInterval(() => {
  signalProcess("SIGSTOP");
  setTimeout(() => signalProcess("SIGCONT"), stoppedMs);
}, PERIOD_MS);
process.once("disconnect", () => {
  signalProcess("SIGCONT");
  process.exit();
});
