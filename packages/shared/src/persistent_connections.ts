/**
 * Connections that are kept for the next call to the same address.
 *
 * Those to one address may all fall silent at the same moment, without a reset.
 * Only a call without an answer shows it, and each further one that is tried
 * would cost a call's time as well; so one such call is enough to leave all of
 * them behind.
 *
 * @module
 */
import { Pool } from "undici";
import type { Millis } from "./clock.ts";

/** The kept connections of one kind of peer. */
export interface PersistentConnections {
  /** What sends to an address; use it for one call only. */
  getPool(address: string): Pool;
  /** A call there got no answer: the next one opens a connection. */
  discard(address: string): void;
  close(): Promise<void>;
}

/** Options of {@linkcode createPersistentConnections}. */
export interface PersistentConnectionsOptions {
  /** How long a connection is kept without a call, unless its server tells. */
  keepAlive: Millis;
  /** The longest time that a server's word is followed; undici's if left out. */
  maxKeepAlive?: Millis;
  connectTimeout: Millis;
}

/** Creates the connections of a process that has called nobody. */
export function createPersistentConnections(
  { keepAlive, maxKeepAlive, connectTimeout }: PersistentConnectionsOptions,
): PersistentConnections {
  const pools = new Map<string, Pool>();

  function getPool(address: string): Pool {
    const present = pools.get(address);
    if (present !== undefined) return present;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: keepAlive,
      ...(maxKeepAlive === undefined
        ? {}
        : { keepAliveMaxTimeout: maxKeepAlive }),
      connectTimeout,
      // Deadlines are kept by abort signals, which also cover what undici's own
      // timeouts leave out.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pool.on("disconnect", () => dropUnused(address, pool));
    pools.set(address, pool);
    return pool;
  }

  /** Addresses change with every start of an endpoint, so they pile up. */
  function dropUnused(address: string, pool: Pool): void {
    const { connected, size } = pool.stats;
    if (connected === 0 && size === 0) dropPool(address, pool);
  }

  /** Calls in progress go on; idle connections are closed. */
  function dropPool(address: string, pool: Pool): void {
    if (pools.get(address) === pool) pools.delete(address);
    // It rejects only where the pool was closed before.
    pool.close().catch(() => {});
  }

  return {
    getPool,
    discard(address) {
      const pool = pools.get(address);
      if (pool !== undefined) dropPool(address, pool);
    },
    async close() {
      const all = [...pools.values()];
      pools.clear();
      await Promise.all(all.map((pool) => pool.destroy()));
    },
  };
}
