import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";

const PROGRAM = "target/mangoreach-platform.cjs";
/** Sends the signal to its own process as the launcher reads the program. */
const PRELOADED = `
const fs = require("node:fs");
const read = fs.readFileSync;
fs.readFileSync = (file, ...rest) => {
  if (String(file).endsWith(".bundle.cjs")) process.kill(process.pid, "SIGHUP");
  return read(file, ...rest);
};
`;

describe("signals to a process that is still loading", () => {
  // Settings change while an entry restarts. The signal that says so ended the
  // process before it served a request.
  it("do not end it because its settings have changed", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-signal-"));
    const preloaded = join(folder, "preloaded.cjs");
    writeFileSync(preloaded, PRELOADED);
    const child = spawn(process.execPath, [
      "--require",
      preloaded,
      PROGRAM,
      "--version",
    ]);
    let output = "";
    child.stdout.on("data", (chunk) => output += chunk);
    const end = await new Promise((resolve) =>
      child.once("close", (code, signal) => resolve({ code, signal }))
    );
    expect({ end, output })
      .to.deep.equal({ end: { code: 0, signal: null }, output: "0.1.0\n" });
  });
});
