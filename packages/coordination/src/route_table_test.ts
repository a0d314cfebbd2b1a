import { expect } from "chai";
import { createRouteTable } from "./route_table.ts";
import type { Route, ServingConfig } from "./serving_config.ts";

function createRoute(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: "idempotent",
    timeout: 1_000,
    objective: 100,
    priority: 0,
    pools: [{ pool: "p", weight: 1 }],
    maxAttempts: 1,
    stages: [],
    isPublic: false,
    isResumable: false,
  };
}

const CONFIG: ServingConfig = {
  version: 1,
  routes: [
    createRoute("root", "a.example", "/"),
    createRoute("short", "a.example", "/x/"),
    createRoute("long", "a.example", "/x/y/"),
    createRoute("other", "b.example", "/x/"),
  ],
  pools: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  },
  accounts: [
    { name: "one", keys: ["k1", "k2"], priority: 1 },
    { name: "two", keys: [], priority: undefined },
  ],
};

describe("route table", () => {
  const table = createRouteTable(CONFIG);

  for (
    const { host, path, route } of [
      { host: "a.example", path: "/x/y/z", route: "long" },
      { host: "a.example", path: "/x/y/", route: "long" },
      { host: "a.example", path: "/x/y", route: "short" },
      { host: "a.example", path: "/x/yy/z", route: "short" },
      { host: "a.example", path: "/x", route: "root" },
      { host: "a.example", path: "/", route: "root" },
      { host: "b.example", path: "/x/1", route: "other" },
      { host: "b.example", path: "/y/1", route: undefined },
      { host: "c.example", path: "/x/1", route: undefined },
      { host: "a.example", path: "", route: undefined },
    ]
  ) {
    it(`finds ${route ?? "nothing"} for ${host}${path}`, () => {
      expect(table.findRoute(host, path)?.name).to.equal(route);
    });
  }

  it("finds the account of a key, and none for an unknown key", () => {
    expect(table.findAccount("k2")?.name).to.equal("one");
    expect(table.findAccount("k3")).to.equal(undefined);
  });
});
