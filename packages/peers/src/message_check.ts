/**
 * Validates messages between entries at a fraction of the cost of their schema.
 *
 * A check that is derived from the schema accepts most valid messages as they
 * are. All others are parsed by the schema, which also removes unknown fields,
 * inserts defaults and describes what is malformed.
 *
 * @module
 */
import * as z from "zod";

/** Validates a message; throws if it is malformed. */
export type ReadMessage<T> = (message: unknown) => T;

/** Whether the schema accepts a value and returns it unchanged. */
type Check = (value: unknown) => boolean;

/** Creates the validation of messages of a schema. */
export function createMessageReader<T>(schema: z.ZodType<T>): ReadMessage<T> {
  let check: Check | undefined;
  return (message) => {
    // Derived with the first message, which an entry may never receive.
    check ??= createCheck(schema) ?? (() => false);
    return check(message) ? message as T : schema.parse(message);
  };
}

/** Undefined for a schema of a kind that is not supported. */
function createCheck(schema: z.core.$ZodType): Check | undefined {
  const { def } = (schema as z.core.$ZodTypes)._zod;
  switch (def.type) {
    case "string":
      return "format" in def
        ? undefined
        : createLimitedCheck(def.checks, isString);
    case "number":
      return createLimitedCheck(def.checks, Number.isFinite);
    case "boolean":
      return hasChecks(def) ? undefined : isBoolean;
    case "null":
      return isNull;
    case "literal":
      return createValueCheck(def.values);
    case "enum":
      return createValueCheck(Object.values(def.entries));
    case "nullable": {
      const inner = createCheck(def.innerType);
      return inner && ((value) => value === null || inner(value));
    }
    // Not frozen as by the schema, since messages belong to their receiver.
    case "readonly":
      return hasChecks(def) ? undefined : createCheck(def.innerType);
    case "array":
      return createArrayCheck(def);
    case "tuple":
      return createTupleCheck(def);
    case "object":
      return createObjectCheck(def);
    case "union":
      return createUnionCheck(def);
    default:
      return undefined;
  }
}

function isString(value: unknown): boolean {
  return typeof value === "string";
}

function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

function isNull(value: unknown): boolean {
  return value === null;
}

function hasChecks({ checks }: z.core.$ZodTypeDef): boolean {
  return checks !== undefined && checks.length > 0;
}

function createValueCheck(values: readonly unknown[]): Check {
  return (value) => values.includes(value);
}

/** Adds limits such as a minimum to the check of a type. */
function createLimitedCheck(
  limits: z.core.$ZodTypeDef["checks"],
  hasType: Check,
): Check | undefined {
  const checks = (limits ?? []).map(createLimitCheck);
  if (checks.includes(undefined)) return undefined;
  const all = checks as Check[];
  return (value) => {
    if (!hasType(value)) return false;
    for (const check of all) if (!check(value)) return false;
    return true;
  };
}

function createLimitCheck(
  limit: z.core.$ZodCheck<never>,
): Check | undefined {
  const { def } = (limit as unknown as z.core.$ZodChecks)._zod;
  // Limits of a length have a condition by default, which holds for its type.
  const isLength = def.check === "min_length" || def.check === "max_length";
  if (def.when !== undefined && !isLength) return undefined;
  switch (def.check) {
    case "number_format":
      return def.format === "safeint" ? Number.isSafeInteger : undefined;
    case "greater_than": {
      const { value: min, inclusive } = def;
      return inclusive
        ? (value) => (value as number) >= (min as number)
        : (value) => (value as number) > (min as number);
    }
    case "less_than": {
      const { value: max, inclusive } = def;
      return inclusive
        ? (value) => (value as number) <= (max as number)
        : (value) => (value as number) < (max as number);
    }
    case "min_length":
      return (value) => (value as string).length >= def.minimum;
    case "max_length":
      return (value) => (value as string).length <= def.maximum;
    default:
      return undefined;
  }
}

function createArrayCheck(
  { element, checks }: z.core.$ZodArrayDef,
): Check | undefined {
  const hasLimits = createLimitedCheck(checks, Array.isArray);
  const check = createCheck(element);
  if (hasLimits === undefined || check === undefined) return undefined;
  return (value) => {
    if (!hasLimits(value)) return false;
    for (const item of value as unknown[]) if (!check(item)) return false;
    return true;
  };
}

function createTupleCheck(def: z.core.$ZodTupleDef): Check | undefined {
  const checks = def.items.map(createCheck);
  if (def.rest !== null || hasChecks(def) || checks.includes(undefined)) {
    return undefined;
  }
  const items = checks as Check[];
  return (value) => {
    if (!Array.isArray(value) || value.length !== items.length) return false;
    for (let at = 0; at < items.length; at++) {
      if (!items[at]!(value[at])) return false;
    }
    return true;
  };
}

interface Field {
  name: string;
  isOptional: boolean;
  check: Check;
}

function createObjectCheck(def: z.core.$ZodObjectDef): Check | undefined {
  if (def.catchall !== undefined || hasChecks(def)) return undefined;
  const fields: Field[] = [];
  for (const [name, schema] of Object.entries(def.shape)) {
    const { def: fieldDef } = (schema as z.core.$ZodTypes)._zod;
    const isOptional = fieldDef.type === "optional";
    // A message without such a field is left to the schema.
    const isWrapped = isOptional || fieldDef.type === "default";
    if (isWrapped && hasChecks(fieldDef)) return undefined;
    const check = createCheck(isWrapped ? fieldDef.innerType : schema);
    if (check === undefined) return undefined;
    fields.push({ name, isOptional, check });
  }
  return (value) => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
      return false;
    }
    let count = 0;
    for (const { name, isOptional, check } of fields) {
      const field = (value as Record<string, unknown>)[name];
      if (field === undefined) {
        if (!isOptional) return false;
      } else {
        if (!check(field)) return false;
        count++;
      }
    }
    // The schema removes unknown fields.
    return Object.keys(value).length === count;
  };
}

function createUnionCheck(def: z.core.$ZodUnionDef): Check | undefined {
  const checks = def.options.map(createCheck);
  if (hasChecks(def) || checks.includes(undefined)) return undefined;
  const options = checks as Check[];
  return (value) => options.some((check) => check(value));
}
