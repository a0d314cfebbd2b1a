/**
 * Prints one dot per test and writes a JSON report for scripts/test.ts.
 */
const { writeFileSync } = require("node:fs");
const { reporters } = require("mocha");

class Reporter extends reporters.Dot {
  constructor(runner, options) {
    super(runner, options);
    const report = { passes: [], failures: [] };
    runner.on(
      "pass",
      (test) => report.passes.push({ fullTitle: test.fullTitle() }),
    );
    runner.on("fail", (test, error) =>
      report.failures.push({
        fullTitle: test.fullTitle(),
        err: { message: error.message, stack: error.stack },
      }));
    runner.once("end", () => {
      const file = process.env.MOCHA_REPORT;
      if (file !== undefined) writeFileSync(file, JSON.stringify(report));
    });
  }
}

module.exports = Reporter;
