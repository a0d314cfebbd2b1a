/**
 * Bundles each program into one file under dist/.
 *
 * @module
 */
import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";

const PROGRAMS = {
  "mangoreach-entry": "packages/entry/src/main.ts",
  "mangoreachctl": "packages/ctl/src/main.ts",
  "mangoreach-timeline": "packages/timeline/src/main.ts",
  "mangoreach-standin": "standins/src/main.ts",
};

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: PROGRAMS,
  outdir: "dist",
  sourcemap: true,
});
