/**
 * The difference between two configurations, for the dry run of a publish.
 *
 * @module
 */
import type { ConfigDocument } from "./config_document.ts";

/** A field that differs. */
export interface ConfigChange {
  /** Such as `classes.rulings.target`. */
  path: string;
  before: unknown;
  after: unknown;
}

/** Lists the differences; list items that have a name are matched by it. */
export function compareConfigs(
  before: ConfigDocument | undefined,
  after: ConfigDocument,
): ConfigChange[] {
  const changes: ConfigChange[] = [];
  compareValues(before, after, { path: "", changes });
  return changes;
}

function compareValues(
  before: unknown,
  after: unknown,
  { path, changes }: { path: string; changes: ConfigChange[] },
): void {
  if (JSON.stringify(before) === JSON.stringify(after)) return;
  const left = listFields(before);
  const right = listFields(after);
  if (left === undefined || right === undefined) {
    changes.push({ path, before, after });
    return;
  }
  for (const key of new Set([...left.keys(), ...right.keys()])) {
    const child = path === "" ? key : `${path}.${key}`;
    compareValues(left.get(key), right.get(key), { path: child, changes });
  }
}

/** Fields of an object, or list items by name; undefined for other values. */
function listFields(value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  if (!Array.isArray(value)) return new Map(Object.entries(value));
  const isNamed = value.every((item) =>
    typeof item === "object" && item !== null && "name" in item
  );
  if (!isNamed) return undefined;
  return new Map(value.map((item) => [String(item.name), item]));
}
