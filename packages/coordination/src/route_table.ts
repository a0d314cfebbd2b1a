/**
 * Looks up routes, pools and client accounts of one configuration.
 *
 * @module
 */
import type {
  AccountSpec,
  PoolSpec,
  Route,
  ServingConfig,
} from "./serving_config.ts";

/** An indexed configuration. */
export interface RouteTable {
  readonly config: ServingConfig;
  /** Finds the route of `host` with the longest prefix of `path`. */
  findRoute(host: string, path: string): Route | undefined;
  findPool(name: string): PoolSpec | undefined;
  findAccount(key: string): AccountSpec | undefined;
}

/** Indexes a configuration. */
export function createRouteTable(config: ServingConfig): RouteTable {
  const routes = new Map<string, Map<string, Route>>();
  for (const route of config.routes) {
    const hostRoutes = routes.get(route.host) ?? new Map<string, Route>();
    routes.set(route.host, hostRoutes);
    hostRoutes.set(route.pathPrefix, route);
  }
  const pools = new Map(config.pools.map((pool) => [pool.name, pool]));
  const accounts = new Map(
    (config.accounts ?? []).flatMap((account) =>
      account.keys.map((key) => [key, account] as const)
    ),
  );

  function findRoute(host: string, path: string): Route | undefined {
    const hostRoutes = routes.get(host);
    if (hostRoutes === undefined) return undefined;
    // Prefixes end with a slash, so only those positions can match.
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = hostRoutes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  return {
    config,
    findRoute,
    findPool: (name) => pools.get(name),
    findAccount: (key) => accounts.get(key),
  };
}
