/**
 * Parses settings and other operator files: JSON with comments, validated by a
 * schema, with every fault reported at its line and column.
 *
 * @module
 */
import type { Node, ParseError } from "jsonc-parser";
import {
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { Result } from "true-myth";
import type * as z from "zod";

/** One fault of a settings file. Lines and columns count from 1. */
export interface SettingsFault {
  file: string;
  line: number;
  column: number;
  /** The value found and the values allowed. */
  message: string;
}

/** Input of {@linkcode parseSettings}. */
export interface SettingsSource {
  file: string;
  text: string;
}

/** Options of {@linkcode parseSettings}. */
export interface ParseSettingsOptions {
  /** Called for each unknown key, which is passed over instead of rejected. */
  onUnknownKey?: (fault: SettingsFault) => void;
  /** Changes the values before they are checked. */
  prepare?: (value: unknown) => unknown;
}

const MAX_FOUND_LENGTH = 60;

/**
 * Parses and validates settings. A file with any fault is rejected as a whole,
 * and all its faults are returned together, in file order.
 */
export function parseSettings<T>(
  schema: z.ZodType<T>,
  { file, text, onUnknownKey, prepare = (value) => value }:
    & SettingsSource
    & ParseSettingsOptions,
): Result<T, SettingsFault[]> {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  const locate = (offset: number, message: string): SettingsFault => ({
    file,
    ...computePosition(text, offset),
    message,
  });
  if (root === undefined || syntaxErrors.length > 0) {
    const faults = syntaxErrors.map((error) =>
      locate(
        error.offset,
        `not valid JSON with comments: ${printParseErrorCode(error.error)}`,
      )
    );
    return Result.err(
      faults.length > 0 ? faults : [locate(0, "the file is empty")],
    );
  }
  const value = prepare(readValue(root));
  let checked = schema.safeParse(value);
  if (!checked.success && onUnknownKey !== undefined) {
    for (const issue of checked.error.issues) {
      if (issue.code !== "unrecognized_keys") continue;
      removeKeys(value, issue);
      describeIssue(issue, root).forEach(({ offset, message }) =>
        onUnknownKey(locate(offset, message))
      );
    }
    checked = schema.safeParse(value);
  }
  if (checked.success) return Result.ok(checked.data);
  const faults = checked.error.issues.flatMap((issue) =>
    describeIssue(issue, root).map(({ offset, message }) =>
      locate(offset, message)
    )
  );
  faults.sort((a, b) => a.line - b.line || a.column - b.column);
  return Result.err(faults);
}

/** Formats a fault as `file:line:column: message`. */
export function formatSettingsFault(fault: SettingsFault): string {
  return `${fault.file}:${fault.line}:${fault.column}: ${fault.message}`;
}

interface LocatedMessage {
  offset: number;
  message: string;
}

function describeIssue(issue: z.core.$ZodIssue, root: Node): LocatedMessage[] {
  const path = issue.path.map((part) =>
    typeof part === "symbol" ? String(part) : part
  );
  const name = path.length === 0 ? "the file" : path.join(".");
  const node = findNearestNode(root, path);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      offset: findKeyOffset(node, key),
      message: `unknown key "${key}" in ${name}; remove it or correct its name`,
    }));
  }
  const isPresent = findNodeAtLocation(root, path) !== undefined;
  const found = isPresent ? `found ${formatFound(node)}` : "nothing found";
  return [{
    offset: node.offset,
    message: `${name}: ${found}; allowed: ${describeAllowed(issue)}`,
  }];
}

function removeKeys(
  value: unknown,
  { path, keys }: z.core.$ZodIssueUnrecognizedKeys,
): void {
  const parent = path.reduce<unknown>(
    (inner, part) => (inner as Record<PropertyKey, unknown>)[part],
    value,
  ) as Record<string, unknown>;
  for (const key of keys) delete parent[key];
}

function describeAllowed(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return issue.expected;
    case "invalid_value":
      return issue.values.map((value) => JSON.stringify(value)).join(" or ");
    case "too_small":
      return `${issue.minimum} or more`;
    case "too_big":
      return `${issue.maximum} or less`;
    default:
      return issue.message;
  }
}

function formatFound(node: Node): string {
  const text = JSON.stringify(readValue(node)) ?? "nothing";
  if (text.length <= MAX_FOUND_LENGTH) return text;
  return `${text.slice(0, MAX_FOUND_LENGTH)}...`;
}

function findNearestNode(root: Node, path: (string | number)[]): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) return node;
  }
  return root;
}

function findKeyOffset(node: Node, key: string): number {
  const property = node.children?.find((child) =>
    child.children?.[0]?.value === key
  );
  return property?.offset ?? node.offset;
}

function readValue(node: Node): unknown {
  if (node.type === "array") return (node.children ?? []).map(readValue);
  if (node.type !== "object") return node.value;
  const entries = (node.children ?? []).map(({ children = [] }) =>
    [String(children[0]?.value), children[1] && readValue(children[1])] as const
  );
  return Object.fromEntries(entries);
}

function computePosition(text: string, offset: number) {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}
