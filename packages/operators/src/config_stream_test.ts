import { createLogClient } from "@mangoreach/log";
import type { LogClient } from "@mangoreach/log";
import { createSystemClock } from "@mangoreach/shared";
import type { Standin } from "@mangoreach/standins";
import { startLogService } from "@mangoreach/standins";
import { expect } from "chai";
import { compareConfigs } from "./config_diff.ts";
import type { ConfigDocument } from "./config_document.ts";
import { configDocumentSchema } from "./config_document.ts";
import { publishConfig, readConfigState } from "./config_stream.ts";

const CONFIG: ConfigDocument = configDocumentSchema.parse({
  classes: [{ name: "rulings", target: 0.99, priority: 1 }],
  pools: [{ name: "encoder", kind: "stage" }],
  pipelines: [{
    name: "embed",
    deadlineMs: 1_000,
    stages: [{ name: "encode", pool: "encoder" }],
  }],
  accounts: [{ name: "handlers", classes: ["rulings"] }],
});

describe("publishing a configuration", () => {
  const clock = createSystemClock();
  let standin: Standin;
  let log: LogClient;

  beforeEach(async () => {
    standin = await startLogService({ clock });
    log = createLogClient({
      clock,
      address: standin.address,
      appendTimeoutMs: 200,
    });
  });

  afterEach(async () => {
    await log.close();
    await standin.stop();
  });

  function publish(publishId: string, basedOn: number) {
    return publishConfig({
      clock,
      log,
      publishId,
      author: publishId,
      basedOn,
      config: CONFIG,
      timeoutMs: 500,
    });
  }

  it("puts each publish in force under the next version", async () => {
    expect(await publish("a", 0)).to.deep.equal({
      kind: "in_force",
      version: 1,
    });
    expect(await publish("b", 1)).to.deep.equal({
      kind: "in_force",
      version: 2,
    });
  });

  it("accepts one of two concurrent publishes and reports a conflict for the other", async () => {
    const [a, b] = await Promise.all([publish("a", 0), publish("b", 0)]);
    const kinds = [a.kind, b.kind].sort();
    expect(kinds).to.deep.equal(["conflict", "in_force"]);
    const loser = a.kind === "conflict" ? a : b;
    expect(loser.kind === "conflict" && loser.inForce.version).to.equal(1);
  });

  // The append takes effect but its response is lost. The publish id is found
  // in the log, so the configuration is not published twice.
  it("finds a publish whose append response was lost", async () => {
    standin.faults.loseAnswers = 1;
    expect(await publish("a", 0)).to.deep.equal({
      kind: "in_force",
      version: 1,
    });
    const state = await readConfigState(log);
    expect(state.isOk && state.value.fold.asOf).to.equal(0);
  });

  it("does not publish twice when retried under the same id", async () => {
    await publish("a", 0);
    expect(await publish("a", 0)).to.deep.equal({
      kind: "in_force",
      version: 1,
    });
    expect((await readConfigState(log)).map(({ fold }) => fold.asOf))
      .to.deep.include({ value: 0 });
  });

  it("reports the outcome as unknown while the log is unavailable", async () => {
    standin.faults.away = true;
    expect((await publish("a", 0)).kind).to.equal("unknown");
  });

  it("skips records that are not a configuration", async () => {
    await log.append("config", { kind: "publish", config: "what" });
    expect(await publish("a", 0)).to.deep.equal({
      kind: "in_force",
      version: 1,
    });
  });
});

describe("configuration document", () => {
  const BROKEN = [
    {
      name: "an unknown pool",
      path: ["pipelines", 0, "stages", 0, "pool"],
      value: "x",
    },
    {
      name: "an unknown class",
      path: ["accounts", 0, "classes", 0],
      value: "x",
    },
    { name: "a target above 1", path: ["classes", 0, "target"], value: 1.5 },
    {
      name: "a model on a plain pool",
      path: ["pipelines", 0, "stages", 0, "model"],
      value: "m",
    },
    { name: "a weight", path: ["classes", 0, "weight"], value: 3 },
  ];
  for (const { name, path, value } of BROKEN) {
    it(`refuses ${name}`, () => {
      const copy = structuredClone(CONFIG) as Record<string, unknown>;
      let target = copy as Record<string | number, unknown>;
      for (const key of path.slice(0, -1)) {
        target = target[key] as Record<string | number, unknown>;
      }
      target[path.at(-1)!] = value;
      expect(configDocumentSchema.safeParse(copy).success).to.equal(false);
    });
  }

  it("is compared by names, so that a different order is not a change", () => {
    const after = structuredClone(CONFIG);
    after.classes[0]!.target = 0.95;
    expect(compareConfigs(CONFIG, after)).to.deep.equal([
      { path: "classes.rulings.target", before: 0.99, after: 0.95 },
    ]);
  });
});
