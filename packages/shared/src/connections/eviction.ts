/**
 * Chooses the connections that give way when a process holds too much. One whose
 * request is in progress, and whose answers are read, is never chosen.
 *
 * @module
 */
import type { Millis } from "../clock.ts";
import type { Connection } from "./connection_registry.ts";

/** What a connection does, in the order in which connections give way. */
type Use =
  /** It has not sent a request. */
  | "unused"
  /** It waits for another request. */
  | "idle"
  /** Its answers are not read. */
  | "unread"
  /** Its request has not been received. */
  | "unfinished"
  | "in_use";

const ORDER: readonly Use[] = [
  "unused",
  "idle",
  "unread",
  "unfinished",
  "in_use",
];

/** Peers exchange messages more often. */
const SILENT_TIME: Millis = 15_000;

function classifyUse(connection: Connection, now: Millis): Use {
  const { exchanges, hasServed, isUpgraded, isUnread, activeAt } = connection;
  if (isUpgraded) return now - activeAt < SILENT_TIME ? "in_use" : "idle";
  if (isUnread) return "unread";
  if (exchanges.size === 0) return hasServed ? "idle" : "unused";
  for (const { message } of exchanges) {
    if (!message.complete) return "unfinished";
  }
  return "in_use";
}

/** Chooses the one that gives way first, and of these the longest idle. */
export function chooseByAge(
  connections: Iterable<Connection>,
  { now, mayClose }: {
    now: Millis;
    mayClose: (connection: Connection) => boolean;
  },
): Connection | undefined {
  let chosen: Connection | undefined;
  let chosenRank = ORDER.indexOf("in_use");
  for (const connection of connections) {
    if (!mayClose(connection)) continue;
    const rank = ORDER.indexOf(classifyUse(connection, now));
    const isEarlier = rank < chosenRank ||
      (rank === chosenRank && chosen !== undefined &&
        connection.activeAt < chosen.activeAt);
    if (!isEarlier) continue;
    chosen = connection;
    chosenRank = rank;
  }
  return chosen;
}

/** Chooses the largest ones that give way, until enough bytes are freed. */
export function chooseByMemory(
  connections: Iterable<Connection>,
  { now, bytes }: { now: Millis; bytes: number },
): Connection[] {
  const candidates = [...connections]
    .filter((one) => !one.isUpgraded && classifyUse(one, now) !== "in_use")
    .sort((a, b) => b.bytes - a.bytes);
  let freed = 0;
  const chosen: Connection[] = [];
  for (const connection of candidates) {
    if (freed >= bytes) break;
    freed += connection.bytes;
    chosen.push(connection);
  }
  return chosen;
}
