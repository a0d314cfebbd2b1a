/**
 * Starts a bundle with the V8 code cache that was created at build time.
 *
 * The cache saves 0.08 s of the 0.2 s of processor time that loading takes, or
 * 0.25 s on a small instance, during which a restarted process serves no
 * requests. V8 rejects a cache created by another version of Node.js or with
 * other flags, and compiles the bundle again.
 */
"use strict";

const process = require("node:process");

// By default these signals would end a process that is still loading. The
// program sets its own handlers before the event loop delivers them.
for (
  const signal of [
    "SIGHUP",
    "SIGTERM",
    "SIGINT",
    "SIGQUIT",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGIO",
    "SIGPWR",
    "SIGSTKFLT",
    "SIGXCPU",
  ]
) process.on(signal, () => {});

const { existsSync, readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "mangoreach-platform.bundle.cjs");
const COMPILED = join(__dirname, "mangoreach-platform.compiled");

const script = new Script(wrap(readFileSync(BUNDLE, "utf8")), {
  filename: BUNDLE,
  cachedData: existsSync(COMPILED) ? readFileSync(COMPILED) : undefined,
});
const run = script.runInThisContext();
run.call(exports, exports, require, module, BUNDLE, dirname(BUNDLE));
