/**
 * Stand-in of the platform's instance list. Changes become visible after a lag.
 *
 * @module
 */
import type { EndpointInfo } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import { parseJson, sendJson } from "@mangoreach/shared";
import type { Standin, StandinState } from "./standin_server.ts";
import { startStandin } from "./standin_server.ts";

/** Options of {@linkcode startInstanceList}. */
export interface InstanceListOptions {
  clock: Clock;
  port?: number;
  /** Time until a change becomes visible. */
  lagMs?: Millis;
}

interface ListVersion {
  at: Millis;
  version: number;
  instances: EndpointInfo[];
}

const DEFAULT_LAG: Millis = 1_000;
const MAX_VERSIONS = 200;

/** Starts the list; `PUT /instances/{id}` and `DELETE` change it. */
export function startInstanceList(
  { clock, port = 0, lagMs = DEFAULT_LAG }: InstanceListOptions,
): Promise<Standin> {
  const current = new Map<string, EndpointInfo>();
  const versions: ListVersion[] = [{
    at: -Infinity,
    version: 0,
    instances: [],
  }];

  function recordVersion(): void {
    const version = versions.at(-1)!.version + 1;
    versions.push({
      at: clock.now(),
      version,
      instances: [...current.values()],
    });
    if (versions.length > MAX_VERSIONS) versions.shift();
  }

  function readVisible({ faults }: StandinState): ListVersion {
    const visibleUntil = clock.now() - lagMs * faults.slowFactor;
    return versions.findLast(({ at }) => at <= visibleUntil) ?? versions[0]!;
  }

  return startStandin({
    clock,
    port,
    routes: (state) => ({
      "GET /instances": ({ response, query }) => {
        const { version, instances } = readVisible(state);
        if (String(version) === query.get("after")) {
          response.writeHead(304);
          return void response.end();
        }
        sendJson(response, { status: 200, body: { version, instances } });
      },
      "PUT /instances/*": ({ response, parts, body }) => {
        const id = parts[0] ?? "";
        const change = parseJson(body) as EndpointInfo;
        current.set(id, { ...current.get(id), ...change, id });
        recordVersion();
        sendJson(response, { status: 200, body: {} });
      },
      "DELETE /instances/*": ({ response, parts }) => {
        current.delete(parts[0] ?? "");
        recordVersion();
        sendJson(response, { status: 200, body: {} });
      },
    }),
  });
}
