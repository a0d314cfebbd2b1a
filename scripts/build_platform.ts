/**
 * Bundles the program for the users' platform into target/.
 *
 * @module
 */
import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: { "mangoreach-platform": "platform/src/main.ts" },
  outdir: "target",
  minifySyntax: true,
  sourcemap: false,
});
