/**
 * How programs are bundled.
 *
 * @module
 */
import type { BuildOptions } from "esbuild";

/** Some packages are CommonJS and ask for `require` at run time. */
const BANNER = `#!/usr/bin/env node
import { createRequire as createRequireForBundle } from "node:module";
const require = createRequireForBundle(import.meta.url);`;

/** Options of every bundle. */
export const BUNDLE_OPTIONS = {
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  // jsonc-parser's main is UMD, which cannot be bundled; its module can.
  mainFields: ["module", "main"],
  target: "node20",
  format: "esm",
  banner: { js: BANNER },
  logLevel: "warning",
} satisfies BuildOptions;
