import { formatSettingsFault } from "@mangoreach/shared";
import { expect } from "chai";
import { parseEntrySettings } from "./entry_settings.ts";

const GOOD = {
  entry: "entry-1",
  place: "odda",
  dataCentre: "odda-a",
  callerAddress: { host: "127.0.0.1", port: 7001 },
  controlAddress: { host: "127.0.0.1", port: 7002 },
  logAddress: "127.0.0.1:7100",
  instanceListAddress: "127.0.0.1:7101",
  weightStoreAddress: "127.0.0.1:7102",
  siteKey: "site-key-of-this-test",
  operatorKey: "operator-key-of-this-test",
  accounts: [{ name: "handlers", key: "handlers-key-of-test" }],
};

function readFaults(change: Record<string, unknown>): string[] {
  const text = JSON.stringify({ ...GOOD, ...change });
  const settings = parseEntrySettings({ file: "entry.jsonc", text });
  return settings.isErr ? settings.error.map(formatSettingsFault) : [];
}

describe("entry settings", () => {
  it("applies defaults to omitted settings", () => {
    const settings = parseEntrySettings({
      file: "entry.jsonc",
      text: JSON.stringify(GOOD),
    });
    expect(settings.isOk && settings.value.timing.exchangeMs).to.equal(2_000);
  });

  const FAULTS = [
    {
      name: "an unknown key",
      change: { entrty: 1 },
      says: 'unknown key "entrty"',
    },
    {
      name: "a wrong type",
      change: { place: 7 },
      says: "place: found 7; allowed: string",
    },
    {
      name: "a missing value",
      change: { siteKey: undefined },
      says: "siteKey: nothing found",
    },
    {
      name: "a host name",
      change: { logAddress: "log:1" },
      says: "allowed: an ip:port",
    },
    {
      name: "a short key",
      change: { operatorKey: "x" },
      says: "operatorKey: found",
    },
    {
      name: "equal keys",
      change: { operatorKey: GOOD.siteKey },
      says: "a key other than siteKey",
    },
    {
      name: "the same address for both ports",
      change: { controlAddress: GOOD.callerAddress },
      says: "other than callerAddress",
    },
    {
      name: "a loss time-out below the suspicion time-out",
      change: { timing: { loseMs: 4_000 } },
      says: "more than timing.suspectMs",
    },
    {
      name: "a duplicate account",
      change: { accounts: [GOOD.accounts[0], GOOD.accounts[0]] },
      says: "no other account has",
    },
  ];
  for (const { name, change, says } of FAULTS) {
    it(`reports ${name}`, () => {
      const faults = readFaults(change);
      expect(faults.join("\n")).to.contain(says);
      expect(faults[0]).to.match(/^entry\.jsonc:1:\d+: /);
    });
  }

  it("reports all errors at once, in the order of the file", () => {
    const text = '{\n  // a comment\n  "entry": 5,\n  "plce": "x",\n}';
    const settings = parseEntrySettings({ file: "e", text });
    const faults = settings.isErr ? settings.error : [];
    expect(faults.length).to.be.above(5);
    const lines = faults.map(({ line }) => line);
    expect(lines).to.deep.equal([...lines].sort((a, b) => a - b));
  });

  it("reports the position of a syntax error", () => {
    const settings = parseEntrySettings({ file: "e", text: '{\n"a": }' });
    expect(settings.isErr && settings.error[0]).to.include({
      line: 2,
      column: 6,
    });
  });
});
