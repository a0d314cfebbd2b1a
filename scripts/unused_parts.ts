/**
 * Leaves out parts of libraries that the program never uses.
 *
 * Loading them takes processor time at each start, most of it in modules of
 * Node.js that nothing else needs: HTTP/2, TLS, worker threads and cluster.
 *
 * @module
 */
import type { Plugin } from "esbuild";

/** Modules whose exports are only called when an option asks for them. */
const UNUSED = [
  "undici/lib/dispatcher/client-h2",
  "prom-client/lib/pushgateway",
  "prom-client/lib/cluster",
  "prom-client/lib/defaultMetrics",
  "pino/lib/transport",
];

/** Whoever calls the module after all learns why it is missing. */
function createStub(name: string): string {
  return `module.exports = function () {
  throw new Error(${JSON.stringify(`${name} is not part of this bundle`)});
};`;
}

/** The esbuild plugin. */
export const unusedParts: Plugin = {
  name: "unused-parts",
  setup(build) {
    for (const name of UNUSED) {
      const filter = new RegExp(`node_modules/${name}\\.js$`);
      build.onLoad({ filter }, () => ({ contents: createStub(name) }));
    }
  },
};
