/**
 * Bundles the program for the users' platform into target/ and writes a V8 code
 * cache for it.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";
import { undiciParts } from "./undici_parts.ts";
import { unusedParts } from "./unused_parts.ts";

const NAME = "target/mangoreach-platform";
const BUNDLE = `${NAME}.bundle.cjs`;
const COMPILED = `${NAME}.compiled`;

/**
 * Reads the Node.js flags that the program will run with: V8 rejects a code cache
 * that was created with other flags.
 */
function readFlags(): string[] {
  const deploy = readFileSync("deploy/system.toml", "utf8");
  const [, words = ""] = /^run = "node (.*) target\//m.exec(deploy) ?? [];
  return words.split(" ").filter((word) => word.startsWith("--"));
}

await build({
  ...BUNDLE_OPTIONS,
  // A code cache can be loaded for a script, but not for a module.
  format: "cjs",
  banner: {},
  outExtension: {},
  entryPoints: ["platform/src/main.ts"],
  outfile: BUNDLE,
  minifySyntax: true,
  sourcemap: false,
  plugins: [undiciParts, unusedParts],
});
copyFileSync("scripts/launcher.cjs", `${NAME}.cjs`);
const compiled = spawnSync(
  process.execPath,
  [...readFlags(), "scripts/compile_bundle.cjs", BUNDLE, COMPILED],
  { stdio: ["ignore", "ignore", "inherit"] },
);
if (compiled.status !== 0) throw new Error("compiling the bundle failed");
