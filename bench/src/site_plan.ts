/**
 * The plan of a site for the demo and the bench: its processes and where they run.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { formatSettingsFault, parseSettings } from "@mangoreach/shared";
import type { ConfigDocument } from "@mangoreach/operators";
import { configDocumentSchema } from "@mangoreach/operators";
import * as z from "zod";

const stageTimesSchema = z.strictObject({
  slots: z.number(),
  baseMs: z.number(),
  perThousandMs: z.number(),
});

const engineTimesSchema = z.strictObject({
  slots: z.number(),
  stepMs: z.number(),
  perSequenceMs: z.number(),
  tokensPerStep: z.number(),
  prefillPerThousandMs: z.number(),
});

const poolPlanSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("endpoint"),
    pool: z.string(),
    count: z.number().int().min(1),
    times: stageTimesSchema,
  }),
  z.strictObject({
    kind: z.literal("engine"),
    pool: z.string(),
    count: z.number().int().min(1),
    times: engineTimesSchema,
    checksFencing: z.boolean().default(true),
  }),
]);

const workSchema = z.strictObject({
  account: z.string(),
  className: z.string(),
  /** A pipeline, or a service with its path. */
  pipeline: z.string().optional(),
  service: z.string().optional(),
  /** Share of all requests. */
  share: z.number().min(0),
  isStreamed: z.boolean().default(false),
  isIdempotent: z.boolean().default(true),
  /** Whether the caller creates the ids itself; these are claimed in the log. */
  isDated: z.boolean().default(false),
  /** Mean length of the text, in characters. */
  meanLength: z.number().int().min(1),
  deadlineMs: z.number().int().min(1),
});

const sitePlanSchema = z.strictObject({
  entries: z.array(z.strictObject({
    name: z.string(),
    place: z.string(),
    dataCentre: z.string(),
  })).min(1),
  pools: z.array(poolPlanSchema),
  accounts: z.array(z.strictObject({
    name: z.string(),
    key: z.string(),
    place: z.string(),
  })),
  work: z.array(workSchema).min(1),
});

/** The plan of a site. */
export type SitePlan = z.infer<typeof sitePlanSchema>;

/** A pool of the plan. */
export type PoolPlan = SitePlan["pools"][number];

/** A kind of request that callers send. */
export type WorkPlan = SitePlan["work"][number];

/** A deployment: its plan and the configuration that its operators publish. */
export interface Deployment {
  name: string;
  plan: SitePlan;
  config: ConfigDocument;
  configFile: string;
}

/** Reads a folder under deployments/; the error thrown lists all faults. */
export function readDeployment(name: string): Deployment {
  const folder = `deployments/${name}`;
  const configFile = `${folder}/config.jsonc`;
  return {
    name,
    plan: readValidated<SitePlan>(sitePlanSchema, `${folder}/site.jsonc`),
    config: readValidated<ConfigDocument>(configDocumentSchema, configFile),
    configFile,
  };
}

function readValidated<T>(schema: z.ZodType<T>, file: string): T {
  const parsed = parseSettings(schema, {
    file,
    text: readFileSync(file, "utf8"),
  });
  if (parsed.isOk) return parsed.value;
  throw new Error(parsed.error.map(formatSettingsFault).join("\n"));
}
