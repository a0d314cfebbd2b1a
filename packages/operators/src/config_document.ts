/**
 * The configuration that operators publish: classes with targets and
 * priorities, pipelines, services, client accounts, pools and models. It
 * contains no weights, endpoints or addresses.
 *
 * @module
 */
import * as z from "zod";

const nameSchema = z.string().regex(
  /^[a-z][a-z0-9_-]{0,63}$/,
  "a name of lower-case letters, digits, _ and -",
);

const MAX_DEADLINE = 600_000;
const MAX_TOKENS = 32_768;

const classSchema = z.strictObject({
  name: nameSchema,
  target: z.number().min(0).max(1)
    .describe("Share that must be answered whole and in time, from 0 to 1"),
  priority: z.number().int().min(1).max(100)
    .describe("1 is the highest; it decides who gives way"),
});

const stageSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema.describe("The pool that does the work"),
  model: nameSchema.optional().describe("Engine stages only: the model"),
  maxTokens: z.number().int().min(1).max(MAX_TOKENS).optional()
    .describe("Engine stages only: tokens generated at most"),
});

const pipelineSchema = z.strictObject({
  name: nameSchema,
  stages: z.array(stageSchema).min(1).max(8),
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE)
    .describe("The deadline of requests that name none, and the longest"),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema,
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE),
});

const accountSchema = z.strictObject({
  name: nameSchema.describe("The client account"),
  classes: z.array(nameSchema).min(1)
    .describe("The classes in which it may send"),
});

const poolSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(["stage", "engine", "service"]),
  checksFencing: z.boolean().default(false)
    .describe("Engines only: whether they refuse an old fencing number"),
  modelsPerEngine: z.number().int().min(1).default(1)
    .describe("Engines only: models that one engine holds at a time"),
});

const modelSchema = z.strictObject({
  name: nameSchema,
  version: z.string().min(1).max(64),
  adapters: z.array(nameSchema).default([]),
  minEngines: z.number().int().min(1).default(1)
    .describe("Engines that hold it even without demand"),
});

const documentShape = z.strictObject({
  classes: z.array(classSchema).min(1),
  pools: z.array(poolSchema).min(1),
  models: z.array(modelSchema).default([]),
  pipelines: z.array(pipelineSchema),
  services: z.array(serviceSchema).default([]),
  accounts: z.array(accountSchema).min(1),
});

/** A complete configuration. */
export type ConfigDocument = z.infer<typeof documentShape>;

/** A class of requests. */
export type ClassConfig = ConfigDocument["classes"][number];

/** A pipeline. */
export type PipelineConfig = ConfigDocument["pipelines"][number];

/** A stage of a pipeline. */
export type StageConfig = PipelineConfig["stages"][number];

/** A plain service. */
export type ServiceConfig = ConfigDocument["services"][number];

/** A pool of endpoints. */
export type PoolConfig = ConfigDocument["pools"][number];

/** A model that engines can load. */
export type ModelConfig = ConfigDocument["models"][number];

/** The schema, including the checks of references between its parts. */
export const configDocumentSchema: z.ZodType<ConfigDocument> = documentShape
  .superRefine(checkReferences);

type Path = (string | number)[];
type Report = (path: Path, message: string) => void;

function checkReferences(
  document: ConfigDocument,
  context: z.RefinementCtx,
): void {
  const report: Report = (path, message) =>
    context.addIssue({ code: "custom", path, message });
  checkUnique(document, report);
  checkPipelines(document, report);
  checkServices(document, report);
  checkAccounts(document, report);
}

function checkUnique(document: ConfigDocument, report: Report): void {
  const lists = [
    "classes",
    "pools",
    "models",
    "pipelines",
    "services",
    "accounts",
  ] as const;
  for (const list of lists) {
    const seen = new Set<string>();
    document[list].forEach(({ name }, i) => {
      if (seen.has(name)) {
        report([list, i, "name"], `a name that no other of ${list} has`);
      }
      seen.add(name);
    });
  }
}

function checkPipelines(document: ConfigDocument, report: Report): void {
  const models = new Set(document.models.map(({ name }) => name));
  document.pipelines.forEach(({ stages }, i) => {
    stages.forEach((stage, j) => {
      const path: Path = ["pipelines", i, "stages", j];
      const pool = document.pools.find(({ name }) => name === stage.pool);
      if (pool === undefined || pool.kind === "service") {
        return report([...path, "pool"], "the name of a stage or engine pool");
      }
      checkStage(stage, { kind: pool.kind, models, path, report });
    });
  });
}

function checkStage(
  stage: StageConfig,
  { kind, models, path, report }: {
    kind: PoolConfig["kind"];
    models: ReadonlySet<string>;
    path: Path;
    report: Report;
  },
): void {
  if (kind !== "engine") {
    if (stage.model !== undefined) {
      report([...path, "model"], "no model: the pool is not of engines");
    }
    if (stage.maxTokens !== undefined) {
      report([...path, "maxTokens"], "no maxTokens: not a pool of engines");
    }
    return;
  }
  if (stage.model === undefined || !models.has(stage.model)) {
    report([...path, "model"], "the name of one of models");
  }
  if (stage.maxTokens === undefined) {
    report([...path, "maxTokens"], "a number: the pool is of engines");
  }
}

function checkServices(document: ConfigDocument, report: Report): void {
  document.services.forEach(({ pool }, i) => {
    const found = document.pools.find(({ name }) => name === pool);
    if (found?.kind !== "service") {
      report(["services", i, "pool"], "the name of a service pool");
    }
  });
}

function checkAccounts(document: ConfigDocument, report: Report): void {
  const classes = new Set(document.classes.map(({ name }) => name));
  document.accounts.forEach((account, i) => {
    account.classes.forEach((name, j) => {
      if (classes.has(name)) return;
      report(["accounts", i, "classes", j], "the name of one of classes");
    });
  });
}
