/**
 * Partitions a stage pool by place among several dispatchers.
 *
 * With hundreds of entries whose requests need a dozen pieces each, a single
 * dispatcher for a pool gets some fifteen hundred messages a second, and all
 * requests wait if it pauses. Its calls mix pieces of all places, so megabytes
 * of results are transferred between places. With one partition for each place,
 * a dispatcher gets a sixth of the messages, and pieces run where their inputs
 * are.
 *
 * @module
 */
import type { Millis } from "@mangoreach/shared";
import { sampleItems } from "./sampling.ts";
import type { EndpointInfo } from "./endpoint.ts";
import type { PeerRecord } from "./membership.ts";
import { listByRendezvous, listLocalFirst } from "./rendezvous.ts";
import { listHighCapacity } from "./high_capacity_members.ts";

/**
 * Minimum average number of endpoints per place for a pool to be partitioned: a
 * partition must tolerate the loss of one endpoint, and pieces that find its
 * endpoints busy overflow to other partitions.
 */
const MIN_ENDPOINTS_PER_PLACE = 2;

/**
 * Pieces go to another partition if its wait is shorter by more than this.
 * Their inputs are then transferred between places, and a call takes about as
 * long.
 */
export const OVERFLOW_WAIT: Millis = 200;
/**
 * Number of other partitions that are compared, sampled at random. If each
 * entry chose the best of all, all would send to the same one until its wait is
 * updated.
 */
const OVERFLOW_CHOICES = 2;

/** The only partition of a pool that is not partitioned by place. */
export const UNPARTITIONED = "";

/** Returns the partitions of a pool with these endpoints, sorted by name. */
export function listPartitions(
  endpoints: readonly Pick<EndpointInfo, "place">[],
): string[] {
  const places = [...new Set(endpoints.map(({ place }) => place))].sort();
  const isDivided = places.length > 1 &&
    endpoints.length >= MIN_ENDPOINTS_PER_PLACE * places.length;
  return isDivided ? places : [UNPARTITIONED];
}

/** Returns the partition of a place, or another one if it has no partition. */
export function choosePartition(
  partitions: readonly string[],
  place = "",
): string {
  if (partitions.includes(place)) return place;
  const [chosen] = listByRendezvous(partitions, {
    key: place,
    readName: (partition) => partition,
  });
  return chosen ?? UNPARTITIONED;
}

/** Returns the endpoints of a partition, or all if its place has none left. */
export function listPartitionEndpoints<T extends Pick<EndpointInfo, "place">>(
  endpoints: readonly T[],
  partition: string,
): readonly T[] {
  const local = endpoints.filter(({ place }) => place === partition);
  return local.length > 0 ? local : endpoints;
}

/** Options of {@linkcode chooseOverflowPartition}. */
export interface OverflowOptions {
  others: readonly string[];
  /**
   * Returns the expected wait of a partition; undefined without a recent value.
   */
  readWait: (partition: string) => Millis | undefined;
  random: () => number;
}

/**
 * Chooses the partition for a piece: `home`, unless its wait is much longer.
 */
export function chooseOverflowPartition(
  home: string,
  { others, readWait, random }: OverflowOptions,
): string {
  const limit = (readWait(home) ?? 0) - OVERFLOW_WAIT;
  if (limit <= 0) return home;
  const compared = sampleItems(others, { count: OVERFLOW_CHOICES, random })
    .map((partition) => ({ partition, wait: readWait(partition) ?? Infinity }))
    .filter(({ wait }) => wait < limit)
    .sort((a, b) => a.wait - b.wait);
  return compared[0]?.partition ?? home;
}

/**
 * Returns the entries that may dispatch for a partition, in an order on which
 * all entries agree: those with a high capacity, and among these the ones of
 * its place first, so that its messages stay within the place.
 */
export function listDispatcherOrder(
  members: readonly PeerRecord[],
  { pool, partition }: { pool: string; partition: string },
): PeerRecord[] {
  const ranked = listByRendezvous(
    listHighCapacity(members, ({ capacity }) => capacity),
    {
      key: partition === UNPARTITIONED ? pool : `${pool}/${partition}`,
      readName: ({ entry }) => entry,
    },
  );
  return listLocalFirst(ranked, partition);
}
