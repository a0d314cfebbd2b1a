/**
 * Combines what one entry may send to endpoints, given what it knows about the
 * other entries.
 *
 * @module
 */
import type { Clock } from "@mangoreach/shared";
import type { EndpointRoom } from "./brittle_allowance.ts";
import { createBrittleAllowance } from "./brittle_allowance.ts";
import type { BrittlePools } from "./brittle_pools.ts";
import { createBrittlePools } from "./brittle_pools.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointDirectory } from "./endpoint_directory.ts";
import type { EndpointInfo } from "./endpoint.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import { createEndpointLimits } from "./endpoint_limits.ts";
import type { EndpointPauses } from "./endpoint_pauses.ts";
import { createEndpointPauses } from "./endpoint_pauses.ts";
import {
  computeDispatcherShare,
  computeRequestShare,
  createLimitAllowance,
} from "./limit_allowance.ts";
import type { Membership, PeerRecord } from "./membership.ts";
import {
  choosePartition,
  listDispatcherOrder,
  listPartitions,
} from "./pool_partition.ts";
import type { SendAllowance } from "./send_allowance.ts";
import { createSendAllowance } from "./send_allowance.ts";
import { createSenderRank, rankSenders } from "./sender_rank.ts";

/** Options of {@linkcode createEntryAllowance}. */
export interface EntryAllowanceOptions {
  clock: Clock;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  /** The name of this entry. */
  entry: string;
  /**
   * All entries that send, including this one; undefined until this entry has
   * discovered the others. See {@linkcode listSendingMembers}.
   */
  listMembers: () => readonly PeerRecord[] | undefined;
  /**
   * The names of all entries that may be sending, including this one and silent
   * ones: behind a network partition, each side would otherwise use the room of
   * a brittle endpoint as if it were alone.
   */
  listEntries: () => readonly string[] | undefined;
  directory: Pick<EndpointDirectory, "listUsable">;
  /** Whether the calls of a pool are sent by dispatchers. */
  isDispatched: (pool: string) => boolean;
  /** The allowance for cold endpoints; omitted if endpoints are never cold. */
  cold?: ColdAllowance;
  /** What endpoints report of their room; unknown if omitted. */
  readRoom?: (endpoint: EndpointInfo) => EndpointRoom;
}

/** The allowance of an entry, with the limits and pauses that it applies. */
export interface EntryAllowance {
  allowance: SendAllowance;
  limits: EndpointLimits;
  brittle: BrittlePools;
  pauses: EndpointPauses;
}

/** Limits nothing. */
const NEVER_COLD: ColdAllowance = { maySend: () => true, recordSend: () => {} };

/**
 * Lists the entries that send to endpoints. Entries that are lost behind a
 * network partition are left out, and their share goes to the next ones.
 */
export function listSendingMembers(
  { self, list }: Pick<Membership, "self" | "list">,
): PeerRecord[] {
  const others = list()
    .filter(({ health, record }) =>
      health !== "lost" && record.state !== "leaving"
    )
    .map(({ record }) => record);
  return [self, ...others];
}

/**
 * Lists the names of all entries that may send to endpoints. Entries that left
 * send no more; silent ones still may.
 */
export function listKnownEntries(
  { self, list }: Pick<Membership, "self" | "list">,
): string[] {
  const others = list()
    .filter(({ record }) => record.state !== "leaving")
    .map(({ record }) => record.entry);
  return [self.entry, ...others];
}

/** Creates the allowance of an entry that knows of no limit and no pause. */
export function createEntryAllowance(
  options: EntryAllowanceOptions,
): EntryAllowance {
  const { clock, random, entry, directory, isDispatched } = options;
  const limits = createEndpointLimits({ clock, random });
  const brittle = createBrittlePools(clock);
  const pauses = createEndpointPauses(clock);

  /**
   * Calls with pieces reach an endpoint from its dispatcher, requests from any
   * entry.
   */
  function listSenders(endpoint: EndpointInfo): string[] | undefined {
    const members = options.listMembers();
    if (members === undefined) return undefined;
    const { pool, place } = endpoint;
    if (!isDispatched(pool)) {
      return rankSenders(members.map((member) => member.entry), endpoint);
    }
    const partitions = listPartitions(directory.listUsable(pool));
    const partition = choosePartition(partitions, place);
    return listDispatcherOrder(members, { pool, partition })
      .map((member) => member.entry);
  }

  const findRank = createSenderRank({ clock, entry, listSenders });
  const limited = createLimitAllowance({
    clock,
    limits,
    findRank,
    chooseShares: ({ pool }) =>
      isDispatched(pool) ? computeDispatcherShare : computeRequestShare,
  });
  const { cold = NEVER_COLD } = options;
  const room = createBrittleAllowance({
    clock,
    entry,
    brittle,
    findRank: createSenderRank({
      clock,
      entry,
      listSenders(endpoint) {
        if (isDispatched(endpoint.pool)) return listSenders(endpoint);
        const entries = options.listEntries();
        return entries && rankSenders(entries, endpoint);
      },
    }),
    countEntries: () => options.listEntries()?.length ?? Infinity,
    listUsable: directory.listUsable,
    isDispatched,
    ...(options.readRoom === undefined ? {} : { readRoom: options.readRoom }),
  });
  const allowance = createSendAllowance({
    cold,
    limits,
    limited,
    pauses,
    brittle: room,
  });
  return { allowance, limits, brittle, pauses };
}
