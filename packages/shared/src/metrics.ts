/**
 * Metrics that the programs have in common. Not in `mod.ts`, as programs without
 * metrics would load prom-client too.
 *
 * @module
 */
import type { Registry } from "prom-client";
import { Counter } from "prom-client";
import type { AnswerMeter } from "./answer_meter.ts";

/** Counts by the value of one label. */
export type LabelledCounts = ReadonlyMap<string, number>;

/** A counter whose values are counted elsewhere. */
export interface SourceCounterOptions {
  name: string;
  help: string;
  /** Its only label; `source` if left out. */
  label?: string;
}

/** Adds a counter; the function returned sets the counts that it reads. */
export function addSourceCounter(
  registry: Registry,
  { name, help, label = "source" }: SourceCounterOptions,
): (counts: LabelledCounts) => void {
  let counts: LabelledCounts = new Map();
  new Counter({
    name,
    help,
    labelNames: [label],
    registers: [registry],
    collect() {
      this.reset();
      for (const [value, count] of counts) {
        this.inc({ [label]: value }, count);
      }
    },
  });
  return (next) => void (counts = next);
}

/** Sets the sources of what is counted of answers, read when collected. */
export interface AnswerMetrics {
  setMalformedCounts(counts: LabelledCounts): void;
  setAnswerMeter(meter: Pick<AnswerMeter, "totals" | "exceeded">): void;
}

/** Adds the counters of answers to calls of the process. */
export function addAnswerMetrics(registry: Registry): AnswerMetrics {
  const setMalformedCounts = addSourceCounter(registry, {
    name: "mangoreach_answers_malformed_total",
    help: "Answers refused as their head is none of HTTP/1, by source",
  });
  const setCosts = addSourceCounter(registry, {
    name: "mangoreach_answer_costs_total",
    help: "What answers to this process cost: bytes, framing, reads",
    label: "cost",
  });
  const setExceededCounts = addSourceCounter(registry, {
    name: "mangoreach_answers_limited_total",
    help: "Answers given up as they cost too much, by limit",
    label: "limit",
  });

  return {
    setMalformedCounts,
    setAnswerMeter({ totals, exceeded }) {
      setCosts(totals);
      setExceededCounts(exceeded);
    },
  };
}
