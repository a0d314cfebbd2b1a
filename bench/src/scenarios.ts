/**
 * The scenarios of the bench: the load over time and the injected faults.
 *
 * @module
 */
import type { Clock } from "@mangoreach/shared";
import type { Site } from "./site_launcher.ts";
import type { WorkPlan } from "./site_plan.ts";

/** A load profile with optional faults. */
export interface Scenario {
  name: string;
  /** Offered load as a multiple of the rate that the pools sustain. */
  load: number;
  /** Returns the load at a progress of the run from 0 to 1. */
  shape(work: readonly WorkPlan[], progress: number): ShapedLoad;
  /** Injects faults; times are given as the progress of the run. */
  injectFaults?(injection: FaultInjection): Promise<void>;
  /** Whether each endpoint needs its own process, so that it can be killed. */
  needsProcesses?: boolean;
  /** Clients per account; few clients mean few, long-lived connections. */
  clientsPerAccount?: number;
}

/** The load at a point of the run. */
export interface ShapedLoad {
  work: readonly WorkPlan[];
  /** Multiplies the scenario's load. */
  factor: number;
}

/** What a fault injection can act on. */
export interface FaultInjection {
  site: Site;
  clock: Clock;
  /** Waits until the run reaches a progress from 0 to 1. */
  waitUntil(progress: number): Promise<void>;
}

const NORMAL_LOAD = 0.7;
const SURGE_FROM = 0.25;
const SURGE_UNTIL = 0.6;
const SURGE_LENGTH_FACTOR = 8;
const BURST_FACTOR = 2.2;
const SLOW_FACTOR = 10;

function isSurge(progress: number): boolean {
  return progress >= SURGE_FROM && progress < SURGE_UNTIL;
}

function sendSteadily(work: readonly WorkPlan[]): ShapedLoad {
  return { work, factor: 1 };
}

/** Sends the same requests with much longer texts during the surge. */
function sendLongFiles(
  work: readonly WorkPlan[],
  progress: number,
): ShapedLoad {
  if (!isSurge(progress)) return sendSteadily(work);
  const long = work.map((one) =>
    one.pipeline === undefined
      ? one
      : { ...one, meanLength: one.meanLength * SURGE_LENGTH_FACTOR }
  );
  return { work: long, factor: 1 };
}

async function applySlowdown(
  { site, waitUntil }: FaultInjection,
): Promise<void> {
  await waitUntil(SURGE_FROM);
  for (const id of ["encoder-1", "engine-1"]) {
    const endpoint = site.endpoints.find((one) => one.id === id);
    await site.setFaults(endpoint?.address ?? "", { slowFactor: SLOW_FACTOR });
  }
}

async function killEndpoints(
  { site, waitUntil }: FaultInjection,
): Promise<void> {
  await waitUntil(SURGE_FROM);
  for (const id of ["encoder-1", "engine-1"]) {
    site.endpoints.find((one) => one.id === id)?.process.send("SIGKILL");
  }
}

async function killEntry({ site, waitUntil }: FaultInjection): Promise<void> {
  await waitUntil(SURGE_FROM);
  site.entries.find(({ name }) => name === "entry-2")?.process.send("SIGKILL");
}

async function disableLog({ site }: FaultInjection): Promise<void> {
  await site.setFaults(site.log.address, { away: true });
}

/** Replaces all entries one after the other, as in a rolling restart. */
async function replaceEntries(
  { site, waitUntil }: FaultInjection,
): Promise<void> {
  const names = site.entries.map(({ name }) => name);
  for (const [i, name] of names.entries()) {
    await waitUntil(0.1 + 0.8 * i / names.length);
    const entry = site.entries.find((one) => one.name === name);
    entry?.process.send("SIGTERM");
    await site.putInstance(name, { state: "leaving" });
    await entry?.process.exited;
    await site.startEntry(name);
  }
}

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  { name: "steady", load: NORMAL_LOAD, shape: sendSteadily },
  { name: "complaint_surge", load: NORMAL_LOAD, shape: sendLongFiles },
  {
    name: "drafting_burst",
    load: NORMAL_LOAD,
    shape: (work, progress) => ({
      work,
      factor: isSurge(progress) ? BURST_FACTOR : 1,
    }),
  },
  { name: "overload", load: 1.5, shape: sendSteadily },
  {
    name: "slow_endpoint",
    load: NORMAL_LOAD,
    shape: sendSteadily,
    injectFaults: applySlowdown,
  },
  {
    name: "dead_endpoint",
    load: NORMAL_LOAD,
    shape: sendSteadily,
    injectFaults: killEndpoints,
    needsProcesses: true,
  },
  {
    name: "entry_killed",
    load: NORMAL_LOAD,
    shape: sendSteadily,
    injectFaults: killEntry,
  },
  {
    name: "log_away",
    load: NORMAL_LOAD,
    shape: sendSteadily,
    injectFaults: disableLog,
  },
  {
    name: "rolling_restart",
    load: NORMAL_LOAD,
    shape: sendSteadily,
    injectFaults: replaceEntries,
  },
  {
    name: "large_account",
    load: 1,
    clientsPerAccount: 2,
    shape: (work) => ({ work: createLargeAccount(work), factor: 1 }),
  },
  {
    name: "surge_and_log_away",
    load: NORMAL_LOAD,
    shape: sendLongFiles,
    injectFaults: disableLog,
  },
];

/** Scales the shares so that one account sends half of all requests. */
function createLargeAccount(work: readonly WorkPlan[]): WorkPlan[] {
  const pipelines = work.filter(({ pipeline }) => pipeline !== undefined);
  const large = pipelines.reduce((a, b) => b.share > a.share ? b : a);
  const isLarge = ({ account }: WorkPlan) => account === large.account;
  const sum = (list: readonly WorkPlan[]) =>
    list.reduce((total, { share }) => total + share, 0);
  const factor = sum(work.filter((one) => !isLarge(one))) /
    sum(work.filter(isLarge));
  return work.map((one) =>
    isLarge(one) ? { ...one, share: one.share * factor } : one
  );
}
