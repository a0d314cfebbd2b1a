/**
 * Entries that run as processes, and can be cut off from each other while they
 * reach the store and all endpoints.
 *
 * @module
 */
import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { CutMode } from "./endpoint_cuts.ts";
import type { SiteEntries } from "./in_process_entries.ts";
import type { Entry } from "./soak_entry.ts";
import {
  createEntry,
  sendBlock,
  sendCut,
  startEntry,
  waitUntilReady,
} from "./soak_entry.ts";

/** A set of running processes. */
export interface EntryProcesses extends SiteEntries {
  /** The entries, by number. */
  readonly entries: readonly Entry[];
  /** Cuts what some entries send to all other entries, which still reach them. */
  cutSending(senders: readonly number[], mode: CutMode): void;
  /** Cuts some entries off from all others, in both directions. */
  cutOff(isolated: readonly number[], mode: CutMode): void;
  endCuts(): void;
  /** All lines of a kind that the entries have logged. */
  listLogged(kind: string): string[];
}

/** Starts entries with a store; resolves once all are ready. */
export async function startEntryProcesses(
  { count, store }: {
    count: number;
    /** `ip:port`. */
    store: string;
  },
): Promise<EntryProcesses> {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-processes-"));
  const entries: Entry[] = [];
  for (let number = 0; number < count; number++) {
    entries.push(
      await createEntry(`entry-${number}`, {
        store: { address: store },
        folder,
      }),
    );
  }

  async function start(): Promise<void> {
    entries.forEach(startEntry);
    await Promise.all(entries.map(waitUntilReady));
  }

  function kill(): void {
    entries.forEach(({ child }) => child?.kill("SIGKILL"));
  }

  function applyBlocks(
    mode: CutMode,
    isBlocked: (from: number, to: number) => boolean,
  ): void {
    entries.forEach((entry, from) => {
      const blocked = entries.filter((_, to) =>
        from !== to && isBlocked(from, to)
      ).map(({ control }) => control);
      sendBlock(entry, mode, blocked);
    });
  }

  await start();
  return {
    entries,
    callers: entries.map(({ callerProxy }) => callerProxy.address),
    async replace() {
      kill();
      await start();
    },
    kill() {
      kill();
      entries.forEach(({ callerProxy, storeProxy }) => {
        callerProxy.close();
        storeProxy.close();
      });
    },
    cutSending: (senders, mode) =>
      applyBlocks(mode, (from) => senders.includes(from)),
    cutOff: (isolated, mode) =>
      applyBlocks(
        mode,
        (from, to) => isolated.includes(from) || isolated.includes(to),
      ),
    endCuts: () => entries.forEach((entry) => sendCut(entry, "none", [])),
    listLogged: (kind) =>
      entries.flatMap(({ logFile }) =>
        readFileSync(logFile, "utf8").split("\n").filter((line) =>
          line.includes(`"${kind}"`)
        )
      ),
  };
}
