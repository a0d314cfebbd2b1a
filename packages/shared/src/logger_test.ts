import { spawnSync } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";

const LOGGER = new URL("./logger.ts", import.meta.url).href;

describe("logger", () => {
  // Keys of client accounts must never reach a log, at either level of fields.
  it("redacts secrets, and writes lines without them in the same form", () => {
    const code = `import { createLogger } from "${LOGGER}";
      const logger = createLogger({ process: "p", level: "info", output: "stdout" })
        .forPart("peers");
      logger.info("plain", { a: 1, list: ["x"] });
      logger.info("top", { a: 1, key: "secret" });
      logger.warn("inner", { a: { token: "secret", b: 2 } });
      logger.debug("none", {});`;
    const { stdout } = spawnSync(
      process.execPath,
      ["--import", "tsx", "--input-type=module", "-e", code],
      { encoding: "utf8" },
    );
    const lines = stdout.trim().split("\n").map((line) => {
      const { time: _, ...rest } = JSON.parse(line);
      return rest;
    });
    const common = { process: "p", part: "peers" };
    expect(lines).to.deep.equal([
      { level: 30, ...common, a: 1, list: ["x"], msg: "peers: plain" },
      { level: 30, ...common, a: 1, key: "[Redacted]", msg: "peers: top" },
      {
        level: 40,
        ...common,
        a: { token: "[Redacted]", b: 2 },
        msg: "peers: inner",
      },
    ]);
  });

  // A full disk or a limit on the size of files ended the process.
  it("outlives an output that cannot be written", () => {
    const code = `import { createLogger } from "${LOGGER}";
      const logger = createLogger({ process: "p", level: "info", output: "stdout" });
      let lines = 0;
      const timer = setInterval(() => {
        logger.info("line", { text: "x".repeat(9_000) });
        if (++lines < 50) return;
        clearInterval(timer);
        process.stderr.write("alive");
      }, 5);`;
    const folder = mkdtempSync(join(tmpdir(), "mangoreach-logger-"));
    const { status, stderr } = spawnSync("bash", [
      "-c",
      `ulimit -f 4; exec "$0" "$@" >${join(folder, "log")}`,
      process.execPath,
      ...["--import", "tsx", "--input-type=module", "-e", code],
    ], { encoding: "utf8", timeout: 8_000, killSignal: "SIGKILL" });
    expect({ status, stderr }).to.deep.equal({ status: 0, stderr: "alive" });
  });
});
