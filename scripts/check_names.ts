/**
 * Checks that function names begin with a verb listed in docs/NAMES.md.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";
import ts from "typescript";

const VERB_LIST = "docs/NAMES.md";
const FOLDERS = [
  "packages",
  "platform/src",
  "standins/src",
  "bench/src",
  "soak/src",
  "scripts",
];

/** Reads the verbs: the code-quoted word at the start of each table row. */
function readVerbs(): Set<string> {
  const rows = readFileSync(VERB_LIST, "utf8").split("\n");
  return new Set(
    rows.flatMap((row) => /^\| `([a-z]+)`/.exec(row)?.[1] ?? []),
  );
}

function listFunctionNames(file: string): string[] {
  const source = ts.createSourceFile(
    file,
    readFileSync(file, "utf8"),
    ts.ScriptTarget.Latest,
  );
  const names: string[] = [];
  function visit(node: ts.Node): void {
    if (ts.isFunctionDeclaration(node) && node.name !== undefined) {
      names.push(node.name.text);
    }
    ts.forEachChild(node, visit);
  }
  visit(source);
  return names;
}

function readFirstWord(name: string): string {
  return /^[a-z]+/.exec(name)?.[0] ?? name;
}

const verbs = readVerbs();
let violations = 0;
for (const file of listFiles()) {
  for (const name of listFunctionNames(file)) {
    if (verbs.has(readFirstWord(name))) continue;
    violations++;
    process.stdout.write(
      `${file}: ${name} begins with no verb of ${VERB_LIST}\n`,
    );
  }
}
process.exitCode = violations === 0 ? 0 : 1;

function listFiles(): string[] {
  return FOLDERS
    .flatMap((folder) =>
      readdirSync(folder, { recursive: true, encoding: "utf8" })
        .map((file) => `${folder}/${file}`)
    )
    .filter((file) =>
      file.endsWith(".ts") && !file.endsWith("_test.ts") &&
      !file.includes("node_modules")
    );
}
