/**
 * Writes the V8 code cache with which the launcher starts a bundle without
 * compiling it. It covers all code that runs while the program loads.
 */
"use strict";

const { readFileSync, writeFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { dirname } = require("node:path");
const { Script } = require("node:vm");

const [bundle, target] = process.argv.slice(2);
const script = new Script(wrap(readFileSync(bundle, "utf8")), {
  filename: bundle,
});
process.on("exit", () => writeFileSync(target, script.createCachedData()));
// With --version the program loads all its modules and exits.
process.argv = [process.execPath, bundle, "--version"];
const run = script.runInThisContext();
run.call(exports, exports, require, module, bundle, dirname(bundle));
