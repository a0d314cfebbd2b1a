/**
 * Generates docs/operators/settings.md from the schemas. With --check it only
 * checks whether the page is up to date.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { entrySettingsSchema } from "@mangoreach/entry";
import {
  configDocumentSchema,
  operatorSettingsSchema,
} from "@mangoreach/operators";
import { z } from "zod";
import { platformSettingsSchema } from "../platform/src/platform_settings.ts";

const PAGE = "docs/operators/settings.md";

interface JsonSchema {
  type?: string;
  enum?: unknown[];
  description?: string;
  default?: unknown;
  minimum?: number;
  maximum?: number;
  minLength?: number;
  pattern?: string;
  properties?: Record<string, JsonSchema>;
  required?: string[];
  items?: JsonSchema;
}

function formatSection(title: string, schema: z.ZodType): string {
  const json = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
  const rows = listRows(json, "");
  return [
    `## ${title}`,
    "",
    "| key | allowed | default | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function listRows(schema: JsonSchema, prefix: string): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, child]) => {
    const name = `${prefix}${key}`;
    const isRequired = schema.required?.includes(key) ?? false;
    if (child.items !== undefined) {
      const inner = listRows(child.items, `${name}[].`);
      return [formatRow(name, { schema: child, isRequired }), ...inner];
    }
    if (child.properties !== undefined) return listRows(child, `${name}.`);
    return [formatRow(name, { schema: child, isRequired })];
  });
}

function formatRow(
  name: string,
  { schema, isRequired }: { schema: JsonSchema; isRequired: boolean },
): string {
  const value = schema.default === undefined
    ? (isRequired ? "(needed)" : "(none)")
    : `\`${JSON.stringify(schema.default)}\``;
  return `| \`${name}\` | ${describeAllowed(schema)} | ${value} | ${
    schema.description ?? ""
  } |`;
}

function describeAllowed(schema: JsonSchema): string {
  if (schema.enum !== undefined) return schema.enum.join(", ");
  const { minimum, maximum, minLength, type } = schema;
  if (minLength !== undefined) return `${type}, ${minLength} or longer`;
  if (minimum === undefined && maximum === undefined) return type ?? "";
  return `${type}, ${minimum ?? ""} to ${maximum ?? ""}`;
}

const page = [
  "# Settings reference",
  "",
  "Made from the schemas by `npm run settings`; `npm test` checks that it is current.",
  "Files are JSON with comments. Durations are milliseconds.",
  "",
  formatSection("mangoreach-entry", entrySettingsSchema),
  formatSection("mangoreach-platform", platformSettingsSchema),
  formatSection(
    "mangoreachctl and mangoreach-timeline",
    operatorSettingsSchema,
  ),
  formatSection("Configuration that operators publish", configDocumentSchema),
].join("\n").trimEnd() + "\n";

if (process.argv.includes("--check")) {
  const isCurrent = readFileSync(PAGE, "utf8") === page;
  if (!isCurrent) process.stdout.write(`${PAGE} is stale: npm run settings\n`);
  process.exitCode = isCurrent ? 0 : 1;
} else {
  writeFileSync(PAGE, page);
}
