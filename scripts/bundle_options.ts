/**
 * Options for bundling the programs.
 *
 * @module
 */
import type { BuildOptions } from "esbuild";

/** Defines `require`, which some CommonJS packages call at run time. */
const BANNER = `#!/usr/bin/env node
import { createRequire as createRequireForBundle } from "node:module";
const require = createRequireForBundle(import.meta.url);`;

/** Options shared by all bundles. */
export const BUNDLE_OPTIONS = {
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  // jsonc-parser's main entry is UMD, which cannot be bundled; its ES module can.
  mainFields: ["module", "main"],
  target: "node20",
  format: "esm",
  banner: { js: BANNER },
  logLevel: "warning",
} satisfies BuildOptions;
