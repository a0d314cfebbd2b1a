/**
 * Starts runners as processes of their own and registers them in the store. It
 * writes there what the runners report: ready, draining, and then nothing.
 */
import { fork } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const FILE = join(dirname(fileURLToPath(import.meta.url)), "runner.mjs");
const HEARTBEAT_MS = 1_200;

/** Starts a runner; `onMessage` gets its reports of runs and events. */
export async function startRunnerProcess({ store, id, service, onMessage }) {
  const child = fork(FILE, [id], {
    stdio: ["ignore", "ignore", "inherit", "ipc"],
  });
  const born = Date.now();
  let state = "ready";
  let seq = 0;
  const address = await new Promise((resolve, reject) => {
    child.once("exit", () => reject(new Error(`runner ${id} ended`)));
    child.on("message", (message) => {
      if (message.kind === "address") resolve(message.address);
      else onMessage({ ...message, runner: id });
    });
  });

  function register() {
    store.put("keyed.servers", id, {
      service,
      address,
      zone: "z1",
      version: "v1",
      slots: 64,
      state,
      coldLeftMs: 0,
      seq: seq++,
      born,
    });
  }

  register();
  const timer = setInterval(register, HEARTBEAT_MS);
  const exited = new Promise((resolve) => child.once("exit", resolve));
  return {
    id,
    address,
    /** Reports that it leaves; it goes on serving. */
    drain() {
      state = "draining";
      register();
    },
    /** The process is gone at once; its entry is removed. */
    async end() {
      clearInterval(timer);
      child.kill("SIGKILL");
      await exited;
      store.put("keyed.servers", id, undefined);
    },
    kill() {
      clearInterval(timer);
      child.kill("SIGKILL");
    },
  };
}
