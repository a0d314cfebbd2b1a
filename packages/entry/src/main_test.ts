import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";

const SETTINGS = {
  entry: "entry-1",
  place: "odda",
  dataCentre: "odda-a",
  callerAddress: { host: "127.0.0.1", port: 0 },
  controlAddress: { host: "127.0.0.1", port: 0 },
  logAddress: "127.0.0.1:9",
  instanceListAddress: "127.0.0.1:9",
  weightStoreAddress: "127.0.0.1:9",
  siteKey: "site-key-of-this-test",
  operatorKey: "operator-key-of-this-test",
  accounts: [{ name: "handlers", key: "handlers-key-of-test" }],
};
/** The last line shows that the process lives on. */
const THROWING = `
if (require("node:worker_threads").isMainThread) {
  setTimeout(() => { throw new Error("nobody catches"); }, 4_000);
  setTimeout(() => Promise.reject(new Error("nobody awaits")), 4_000);
  setTimeout(() => process.exit(7), 6_000);
}
`;

describe("mangoreach-entry", () => {
  // An error that reaches the event loop ended the process and all its requests.
  it("outlives errors outside of requests and logs them", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-entry-"));
    const settings = join(folder, "entry.jsonc");
    const preloaded = join(folder, "preloaded.cjs");
    writeFileSync(settings, JSON.stringify(SETTINGS));
    writeFileSync(preloaded, THROWING);
    const child = spawn(process.execPath, [
      ...["--import", "tsx", "--require", preloaded],
      ...["packages/entry/src/main.ts", "--settings", settings],
    ], { stdio: ["ignore", "ignore", "pipe"] });
    let log = "";
    child.stderr.on("data", (chunk) => log += chunk);
    const status = await new Promise((resolve) => child.once("close", resolve));
    expect(status).to.equal(7);
    expect(log).to.contain('"source":"uncaught_exception"');
    expect(log).to.contain('"source":"unhandled_rejection"');
  });
});
