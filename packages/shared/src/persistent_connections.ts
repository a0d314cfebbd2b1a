/**
 * Persistent connections, which are reused for the next call to the same
 * address.
 *
 * All connections to an address can stop responding at the same moment,
 * without a reset. Only a call that times out shows this, and each further
 * connection that is tried would cost another timeout. So one such call is
 * enough to replace all connections to the address.
 *
 * @module
 */
import { buildConnector, Pool } from "undici";
import type { AnswerMeter } from "./answer_meter.ts";
import { createAnswerFraming } from "./answers/answer_framing.ts";
import { openMeteredInput } from "./answers/answer_input.ts";
import type { Millis } from "./clock.ts";
import type { Connect, ConnectFailure } from "./connection.ts";
import { isRelayed } from "./connection.ts";

/** The persistent connections to one kind of server. */
export interface PersistentConnections {
  /** Gets the connection pool of an address; use it for one call only. */
  getPool(address: string): Pool;
  /** Discards the pool of an address after a call without an answer. */
  discard(address: string): void;
  close(): Promise<void>;
}

/** Options of {@linkcode createPersistentConnections}. */
export interface PersistentConnectionsOptions {
  /** How long an idle connection is kept if its server sends no timeout. */
  keepAlive: Millis;
  /**
   * Upper bound of keep-alive times that servers send; undici's default if
   * left out.
   */
  maxKeepAlive?: Millis;
  connectTimeout: Millis;
  /** Opens connections; undici's own ones if left out. */
  connect?: Connect;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/** Adapts a function that opens connections to undici. */
function createConnector(
  connect: Connect,
  { address, connectTimeout, onRelayed }: {
    address: string;
    connectTimeout: Millis;
    /** Called when a connection through a relay was opened. */
    onRelayed: () => void;
  },
): buildConnector.connector {
  return (_options, callback) => {
    void connect(address, { timeout: connectTimeout }).then((connection) => {
      if (connection.isOk) {
        callback(null, connection.value);
        if (isRelayed(connection.value)) onRelayed();
        return;
      }
      const { failure, message } = connection.error;
      callback(
        Object.assign(new Error(message), CONNECT_ERRORS[failure]),
        null,
      );
    });
  };
}

/** The properties by which errors before a connection are recognised. */
const REFUSED = { code: "ECONNREFUSED", syscall: "connect" } as const;
const CONNECT_ERRORS: Readonly<Record<ConnectFailure, object>> = {
  refused: REFUSED,
  malformed_address: REFUSED,
  silent: { code: "UND_ERR_CONNECT_TIMEOUT" },
  aborted: { code: "UND_ERR_CONNECT_TIMEOUT" },
};

/** Creates an empty set of connection pools. */
export function createPersistentConnections(
  { keepAlive, maxKeepAlive, connectTimeout, connect, meter }:
    PersistentConnectionsOptions,
): PersistentConnections {
  const pools = new Map<string, Pool>();
  const connectDirectly = buildConnector({ timeout: connectTimeout });

  /** Answers on the connections are read through an input. */
  function addInput(
    address: string,
    open: buildConnector.connector,
  ): buildConnector.connector {
    return (options, callback) =>
      open(options, (error, socket) => {
        if (error !== null) return callback(error, null);
        openMeteredInput(socket, {
          address,
          framing: createAnswerFraming({ method: "GET", isSingle: false }),
          meter,
        });
        callback(null, socket);
      });
  }

  function getPool(address: string): Pool {
    const present = pools.get(address);
    if (present !== undefined) return present;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: keepAlive,
      ...(maxKeepAlive === undefined
        ? {}
        : { keepAliveMaxTimeout: maxKeepAlive }),
      connect: addInput(
        address,
        connect === undefined ? connectDirectly : createConnector(connect, {
          address,
          connectTimeout,
          // The relay does not see calls, and may have been asked for a pause
          // before the next one. Calls that wait are completed.
          onRelayed: () => dropPool(address, pool),
        }),
      ),
      // Deadlines are enforced by abort signals, which also cover phases that
      // undici's own timeouts do not.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pool.on("disconnect", () => dropUnused(address, pool));
    pools.set(address, pool);
    return pool;
  }

  /** Drops unused pools: every start of an endpoint brings a new address. */
  function dropUnused(address: string, pool: Pool): void {
    const { connected, size } = pool.stats;
    if (connected === 0 && size === 0) dropPool(address, pool);
  }

  /** Closes idle connections; calls in progress continue. */
  function dropPool(address: string, pool: Pool): void {
    if (pools.get(address) === pool) pools.delete(address);
    // close() rejects only if the pool is already closed.
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
