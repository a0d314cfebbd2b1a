/**
 * What one entry may send to endpoints, wired to what it knows of its site.
 *
 * @module
 */
import type {
  ColdAllowance,
  EndpointDirectory,
  EndpointInfo,
  EndpointLimits,
  Membership,
  RouteTable,
  SendAllowance,
} from "@mangoreach/coordination";
import {
  choosePartition,
  computeFeederShare,
  computeRequestShare,
  createEndpointLimits,
  createLimitAllowance,
  createSendAllowance,
  createSenderRank,
  listFeederOrder,
  listPartitions,
  listSendersFor,
} from "@mangoreach/coordination";
import type { Clock } from "@mangoreach/shared";

/** Options of {@linkcode createEntryAllowance}. */
export interface EntryAllowanceOptions {
  clock: Clock;
  random: () => number;
  membership: Membership;
  /** Whether the records of other entries were read at least once. */
  hasMembers: () => boolean;
  directory: Pick<EndpointDirectory, "listUsable">;
  readTable: () => RouteTable | undefined;
  cold: ColdAllowance;
}

/** The allowance of an entry, and the limits that it follows. */
export interface EntryAllowance {
  allowance: SendAllowance;
  limits: EndpointLimits;
}

/** Creates the allowance of an entry that no endpoint has told anything. */
export function createEntryAllowance(
  options: EntryAllowanceOptions,
): EntryAllowance {
  const { clock, random, membership, directory, readTable } = options;
  const limits = createEndpointLimits({ clock, random });

  function isStagePool(pool: string): boolean {
    return readTable()?.findPool(pool)?.batching !== undefined;
  }

  /** A cut excuses who is lost behind it; its share goes to the next. */
  function listMembers() {
    const others = membership.list()
      .filter(({ health, record }) =>
        health !== "lost" && record.state !== "leaving"
      )
      .map(({ record }) => record);
    return [membership.self, ...others];
  }

  /** Pieces reach an endpoint from its feeder, requests from any entry. */
  function listSenders(endpoint: EndpointInfo): string[] | undefined {
    if (!options.hasMembers()) return undefined;
    const { pool, place } = endpoint;
    const members = listMembers();
    if (!isStagePool(pool)) {
      return listSendersFor(members.map(({ entry }) => entry), endpoint);
    }
    const partitions = listPartitions(directory.listUsable(pool));
    const partition = choosePartition(partitions, place);
    return listFeederOrder(members, { pool, partition })
      .map(({ entry }) => entry);
  }

  const limited = createLimitAllowance({
    clock,
    limits,
    findRank: createSenderRank({
      clock,
      entry: membership.self.entry,
      listSenders,
    }),
    chooseShares: ({ pool }) =>
      isStagePool(pool) ? computeFeederShare : computeRequestShare,
  });

  return {
    allowance: createSendAllowance({ cold: options.cold, limits, limited }),
    limits,
  };
}
