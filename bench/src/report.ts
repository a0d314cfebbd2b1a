/**
 * `npm run bench -- report`: renders stored results as a page with plots.
 *
 * @module
 */
import { mkdirSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { parse, View } from "vega";
import type { TopLevelSpec } from "vega-lite";
import { compile } from "vega-lite";
import type { LoadBenchResult } from "./load_bench.ts";

const RESULTS_FOLDER = ".bench/results";
const PAGE = "docs/BENCH.md";
const FIGURES = "docs/figures";

interface Bar {
  scenario: string;
  policy: string;
  attainment: number;
}

/** Writes the page; returns the number of runs it contains. */
export async function writeReport(): Promise<number> {
  const results = readdirSync(RESULTS_FOLDER).map((file) =>
    JSON.parse(readFileSync(`${RESULTS_FOLDER}/${file}`, "utf8"))
  ) as LoadBenchResult[];
  mkdirSync(FIGURES, { recursive: true });
  const all = results.map((result) => createBar(result, result.all.attainment));
  await writeFigure("all_classes", { bars: all, title: "all classes" });
  const first = results.flatMap((result) => {
    const name = findFirstClass(result);
    return name === undefined
      ? []
      : [createBar(result, result.classes[name]!.attainment)];
  });
  await writeFigure("first_class", {
    bars: first,
    title: "the class of the highest priority",
  });
  writeFileSync(PAGE, formatPage(results));
  return results.length;
}

function createBar(
  { scenario, policy }: LoadBenchResult,
  attainment: number,
): Bar {
  return { scenario, policy, attainment };
}

/** Finds the first class: rulings at Fjordvik, rating checks at the Association. */
function findFirstClass({ classes }: LoadBenchResult): string | undefined {
  return ["rulings", "rating_checks"].find((name) => name in classes);
}

async function writeFigure(
  name: string,
  { bars, title }: { bars: Bar[]; title: string },
): Promise<void> {
  const spec: TopLevelSpec = {
    title: `attainment, ${title} (median of the seeds)`,
    width: 720,
    height: 260,
    data: { values: bars },
    mark: "bar",
    encoding: {
      x: { field: "scenario", type: "nominal", title: null },
      xOffset: { field: "policy" },
      y: {
        aggregate: "median",
        field: "attainment",
        type: "quantitative",
        scale: { domain: [0, 1] },
      },
      color: { field: "policy", type: "nominal" },
    },
  };
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  writeFileSync(`${FIGURES}/${name}.svg`, await view.toSVG());
}

function formatPage(results: readonly LoadBenchResult[]): string {
  const groups = new Map<string, LoadBenchResult[]>();
  for (const result of results) {
    const key = `${result.deployment} ${result.scenario} ${result.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), result]);
  }
  const rows = [...groups.entries()].sort(([a], [b]) => a.localeCompare(b))
    .map(([key, group]) => formatRow(key, group));
  return [
    "# Bench results",
    "",
    "Made by `npm run bench -- report` from stored runs. Attainment is the",
    "median of the seeds, with the lowest and highest where there are several.",
    "The bound is the share that no policy could exceed, counting the time until",
    "the last deadline; on short runs it is loose.",
    "",
    "![all classes](figures/all_classes.svg)",
    "",
    "![first class](figures/first_class.svg)",
    "",
    "| deployment | scenario | policy | seeds | first class | bound | all | bound | engine s per request in time | wasted |",
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function formatRow(key: string, group: readonly LoadBenchResult[]): string {
  const first = findFirstClass(group[0]!) ?? "";
  const formatCell = (read: (result: LoadBenchResult) => number | undefined) =>
    formatRange(group.map((result) => read(result) ?? 0));
  const cells = [
    ...key.split(" "),
    group.map(({ seed }) => seed).sort((a, b) => a - b).join(", "),
    formatCell(({ classes }) => classes[first]?.attainment),
    formatCell(({ classes }) => classes[first]?.bound),
    formatCell(({ all }) => all.attainment),
    formatCell(({ all }) => all.bound),
    formatCell((result) => result.cost_by_stage.engine),
    formatCell((result) => result.wasted_share),
  ];
  return `| ${cells.join(" | ")} |`;
}

function formatRange(values: number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  if (sorted.length === 1) return median.toFixed(3);
  const low = sorted[0]!.toFixed(3);
  const high = sorted.at(-1)!.toFixed(3);
  return `${median.toFixed(3)} (${low} to ${high})`;
}
