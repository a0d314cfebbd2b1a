/**
 * `mangoreachctl publish`: publishes a configuration and waits until it is in
 * force at every live entry, or lists the entries where it is not.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type {
  ActiveConfig,
  ConfigChange,
  ConfigDocument,
} from "@mangoreach/operators";
import {
  compareConfigs,
  publishConfig,
  readConfigState,
} from "@mangoreach/operators";
import type { Millis } from "@mangoreach/shared";
import type { CommandResult } from "./command.ts";
import type { EntryStatusResult, SiteAccess } from "./site_access.ts";

/** Options of {@linkcode runPublish}. */
export interface PublishCommandOptions {
  config: ConfigDocument;
  author: string;
  /** The version that the change is based on; by default the one in force. */
  basedOn: number | undefined;
  /** The id of an earlier publish to retry safely; by default a new one. */
  publishId: string | undefined;
  isDryRun: boolean;
  waitMs: Millis;
}

const PUBLISH_TIMEOUT: Millis = 10_000;
const STATUS_INTERVAL: Millis = 100;

/** Runs the command. */
export async function runPublish(
  site: SiteAccess,
  options: PublishCommandOptions,
): Promise<CommandResult> {
  const inForce = await readInForce(site);
  if (inForce.kind === "failed") {
    return { isSuccess: false, text: `${inForce.message}\n`, json: inForce };
  }
  const { active } = inForce;
  if (options.isDryRun) return describeDryRun(active, options.config);
  const basedOn = options.basedOn ?? active?.version ?? 0;
  const publishId = options.publishId ?? randomUUID();
  const outcome = await publishConfig({
    clock: site.clock,
    log: site.log,
    publishId,
    author: options.author,
    basedOn,
    config: options.config,
    timeoutMs: PUBLISH_TIMEOUT,
  });
  switch (outcome.kind) {
    case "in_force":
      return await waitUntilInForce(site, {
        version: outcome.version,
        waitMs: options.waitMs,
      });
    case "conflict": {
      const { version, author } = outcome.inForce;
      const text = `conflict: version ${version} was published by ${author} ` +
        `meanwhile; yours was based on ${basedOn}\n` +
        `look at it with "mangoreachctl show", then publish again\n`;
      return {
        isSuccess: false,
        text,
        json: { kind: "conflict", version, author },
      };
    }
    case "unknown": {
      const text = `not known whether it was published: ` +
        `${outcome.failure.message}\n` +
        `publish again with --publish-id ${publishId}; it counts once\n`;
      return { isSuccess: false, text, json: { kind: "unknown", publishId } };
    }
  }
}

type InForceResult =
  | { kind: "read"; active: ActiveConfig | undefined }
  | { kind: "failed"; message: string };

async function readInForce(site: SiteAccess): Promise<InForceResult> {
  const state = await readConfigState(site.log);
  if (state.isErr) return { kind: "failed", message: state.error.message };
  return { kind: "read", active: state.value.fold.inForce };
}

function describeDryRun(
  active: ActiveConfig | undefined,
  config: ConfigDocument,
): CommandResult {
  const changes = compareConfigs(active?.config, config);
  const base = active === undefined
    ? "nothing is in force yet"
    : `version ${active.version} by ${active.author} is in force`;
  const lines = changes.map(formatChange);
  const text = [`dry run: ${base}`, ...lines, ""].join("\n");
  return {
    isSuccess: true,
    text: changes.length === 0 ? `dry run: ${base}; no difference\n` : text,
    json: { kind: "dry_run", version: active?.version ?? 0, changes },
  };
}

function formatChange({ path, before, after }: ConfigChange): string {
  const show = (value: unknown) =>
    value === undefined ? "(none)" : JSON.stringify(value);
  return `  ${path}: ${show(before)} -> ${show(after)}`;
}

async function waitUntilInForce(
  site: SiteAccess,
  { version, waitMs }: { version: number; waitMs: Millis },
): Promise<CommandResult> {
  const startedAt = site.clock.now();
  for (;;) {
    const results = await site.readStatuses();
    const versions = listVersions(results);
    const lacking = [...versions]
      .filter(([, reached]) => reached < version)
      .map(([entry]) => entry);
    const elapsed = Math.round(site.clock.now() - startedAt);
    if (lacking.length === 0 && versions.size > 0) {
      return {
        isSuccess: true,
        text: `version ${version} is in force at all ${versions.size} ` +
          `entries after ${elapsed} ms\n`,
        json: { kind: "in_force", version, entries: versions.size, elapsed },
      };
    }
    if (elapsed >= waitMs) {
      return {
        isSuccess: false,
        text: `version ${version} is accepted; not yet seen in force at: ` +
          `${lacking.join(", ") || "(no entry is listed)"}\n`,
        json: { kind: "accepted", version, lacking },
      };
    }
    await site.clock.sleep(STATUS_INTERVAL);
  }
}

/**
 * Returns the version in force at each entry that is listed or known to its
 * peers: the instance list lags behind and may not contain a new entry yet.
 */
function listVersions(
  results: readonly EntryStatusResult[],
): Map<string, number> {
  const versions = new Map<string, number>();
  for (const { status } of results) {
    for (const peer of status.isOk ? status.value.peers : []) {
      if (peer.health === "alive") versions.set(peer.entry, peer.configVersion);
    }
  }
  // The status that an entry reports is fresher than what its peers report of
  // it.
  for (const { entry, status } of results) {
    versions.set(entry, status.isOk ? status.value.configVersion : 0);
  }
  return versions;
}
