/**
 * A process of `mangoreach-entry` beside a local site that has no entries.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import type { LocalSite } from "./local_site.ts";
import { LOCAL_KEYS } from "./local_site.ts";

/** The largest body of a request that the process accepts. */
export const MAX_BODY_BYTES = 4_194_304;

/** A running process. */
export interface EntryProcess {
  child: ChildProcess;
  /** Addresses of its listeners by their names, as it prints them. */
  addresses: Readonly<Record<string, string>>;
}

/** Starts a process; resolves once it listens. */
export async function startEntryProcess(
  site: LocalSite,
  nodeArguments: readonly string[] = [],
): Promise<EntryProcess> {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-entry-"));
  const file = join(folder, "entry.jsonc");
  writeFileSync(
    file,
    JSON.stringify({
      entry: "entry-1",
      place: "odda",
      dataCentre: "odda-a",
      callerAddress: { host: "127.0.0.1", port: 0 },
      controlAddress: { host: "127.0.0.1", port: 0 },
      logAddress: site.log.address,
      instanceListAddress: site.instanceList.address,
      weightStoreAddress: site.weightStore.address,
      siteKey: "site-key-of-local-tests",
      operatorKey: "operator-key-of-local-tests",
      accounts: [{ name: "handlers", key: LOCAL_KEYS.handlers }],
      limits: { maxBodyBytes: MAX_BODY_BYTES, requestTimeoutMs: 20_000 },
      timing: { instanceListMs: 50, loadReportMs: 50 },
      logLevel: "error",
    }),
  );
  const child = spawn(process.execPath, [
    ...nodeArguments,
    "dist/mangoreach-entry.mjs",
    "--settings",
    file,
  ], { stdio: ["ignore", "pipe", "ignore"] });
  const line = await new Promise<string>((resolve) =>
    createInterface(child.stdout).once("line", resolve)
  );
  return { child, addresses: JSON.parse(line) as Record<string, string> };
}
