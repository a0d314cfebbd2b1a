/**
 * The configuration that the soak test publishes.
 *
 * @module
 */

/** Client accounts by API key. */
export const ACCOUNTS: ReadonlyMap<string, string> = new Map([
  ["key-1", "one"],
  ["revoked", "two"],
]);

/** Requests per second that a cold plain endpoint or engine can handle. */
export const COLD_RATE = 6;

function createRoute(name: string, change: object) {
  return {
    name,
    pathPrefix: `/${name}/`,
    timeoutMs: 3_000,
    targetLatencyMs: 1_000,
    priority: 1,
    host: "soak.example",
    ...change,
  };
}

/** A configuration in the platform's format. */
export interface SoakConfig {
  limits: Record<string, number>;
  [name: string]: unknown;
}

/** Creates a configuration in the platform's format. */
export function createSoakConfig(
  version: number,
  { isRevoked }: { isRevoked: boolean },
): SoakConfig {
  const stages = [
    { service: "stage", after: [], bytes: 10 },
    { service: "stage", after: [0], bytes: 10 },
  ];
  const pieces = {
    slots: 1,
    queue: 2,
    batch: 6,
    callMs: 40,
    itemMs: 1,
    headroomMb: 1,
    handleS: 4,
    linkMbps: 100,
  };
  const cold = { coldS: 2, coldPerS: COLD_RATE };
  const engine = { slots: 32, kvCapacity: 100_000 };
  const tenants = [...ACCOUNTS]
    .filter(([key]) => key !== "revoked" || !isRevoked)
    .map(([key, name]) => ({ name, apiKeys: [key] }));
  return {
    version,
    routes: [
      createRoute("plain", {
        kind: "idempotent",
        service: "plain",
        maxAttempts: 2,
      }),
      createRoute("once", {
        kind: "non_idempotent",
        service: "plain",
        maxAttempts: 1,
      }),
      createRoute("draft", {
        kind: "stream",
        service: "engine",
        maxAttempts: 1,
        stages,
      }),
      createRoute("chat", {
        kind: "stream",
        service: "chat",
        maxAttempts: 2,
        resumable: true,
      }),
    ],
    services: [
      { name: "plain", maxConns: 100, ...cold },
      { name: "engine", maxConns: 100, engine, ...cold },
      { name: "chat", maxConns: 100, engine },
      { name: "stage", maxConns: 100, pieces },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants,
  };
}
