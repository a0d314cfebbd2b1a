import { readFileSync } from "node:fs";
import { expect } from "chai";
import { IGNORED_SIGNALS, STOP_SIGNALS } from "./process_signals.ts";

/** Guards against a signal that ends a process only while it loads. */
describe("signals that a process handles", () => {
  it("are the same while it loads", () => {
    const launcher = readFileSync("scripts/launcher.cjs", "utf8");
    const [, list = ""] = /const signal of \[([^\]]*)\]/.exec(launcher) ?? [];
    expect(list.match(/SIG\w+/g))
      .to.have.members(["SIGHUP", ...STOP_SIGNALS, ...IGNORED_SIGNALS]);
  });
});
