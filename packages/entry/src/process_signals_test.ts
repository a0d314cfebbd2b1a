import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";

const START_MS = 10_000;
const SETTLE_MS = 500;

/** Guards against signals and errors that end an entry with its requests. */
describe("the program mangoreach-entry", function () {
  this.timeout(20_000);

  async function findEnd(
    preloaded: string,
    signal?: "SIGHUP" | "SIGUSR2",
  ): Promise<string> {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-entry-"));
    const settingsFile = join(folder, "settings.jsonc");
    const preloadedFile = join(folder, "preloaded.cjs");
    const host = "127.0.0.1";
    const remote = `${host}:1`;
    const key = "0123456789abcdef";
    writeFileSync(preloadedFile, preloaded);
    writeFileSync(
      settingsFile,
      JSON.stringify({
        entry: "entry-0",
        place: "z",
        dataCentre: "d",
        callerAddress: { host, port: 0 },
        controlAddress: { host, port: 0 },
        logAddress: remote,
        instanceListAddress: remote,
        weightStoreAddress: remote,
        siteKey: `${key}-site`,
        operatorKey: `${key}-operator`,
        accounts: [{ name: "a", key: `${key}-account` }],
        logLevel: "silent",
      }),
    );
    const child = spawn(process.execPath, [
      "--require",
      preloadedFile,
      "--import",
      "tsx",
      "packages/entry/src/main.ts",
      "--settings",
      settingsFile,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    let end = "lives";
    let output = "";
    child.once("exit", (code, by) => end = by ?? `status ${code}`);
    child.stdout.on("data", (data) => output += data);
    child.stderr.resume();
    const limit = Date.now() + START_MS;
    while (!output.includes("callers") && Date.now() < limit) await sleep(20);
    expect(output).to.contain("callers");
    if (signal !== undefined) child.kill(signal);
    await sleep(SETTLE_MS);
    child.kill("SIGKILL");
    return end;
  }

  for (const signal of ["SIGHUP", "SIGUSR2"] as const) {
    it(`outlives ${signal}`, async () => {
      expect(await findEnd("", signal)).to.equal("lives");
    });
  }

  it("outlives an error outside of requests", async () => {
    const throwing = `
const write = process.stdout.write.bind(process.stdout);
process.stdout.write = (...all) => {
  setTimeout(() => Promise.reject(new Error("nobody awaits")), 50);
  return write(...all);
};`;
    expect(await findEnd(throwing)).to.equal("lives");
  });
});
