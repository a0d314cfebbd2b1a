/**
 * Bundles each program into one file under dist/.
 *
 * @module
 */
import { build } from "esbuild";

const PROGRAMS = {
  "mangoreach-entry": "packages/entry/src/main.ts",
  "mangoreachctl": "packages/ctl/src/main.ts",
  "mangoreach-timeline": "packages/timeline/src/main.ts",
  "mangoreach-standin": "standins/src/main.ts",
};

/** Some packages are CommonJS and ask for `require` at run time. */
const BANNER = `#!/usr/bin/env node
import { createRequire as createRequireForBundle } from "node:module";
const require = createRequireForBundle(import.meta.url);`;

await build({
  entryPoints: PROGRAMS,
  outdir: "dist",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  // jsonc-parser's main is UMD, which cannot be bundled; its module can.
  mainFields: ["module", "main"],
  target: "node20",
  format: "esm",
  sourcemap: true,
  banner: { js: BANNER },
  logLevel: "warning",
});
