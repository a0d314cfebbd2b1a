/**
 * Failures that can be injected into a running site.
 *
 * @module
 */
import type { Clock } from "@mangoreach/shared";
import type { Site, SiteEndpoint, SiteEntry } from "./site_launcher.ts";

/** Names of the failures. */
export type FailureName =
  | "stage_slow"
  | "stage_dead"
  | "burst"
  | "process_killed"
  | "process_frozen"
  | "connection_cut"
  | "log_away"
  | "log_slow"
  | "append_lost"
  | "lapsed_lease"
  | "operators_at_once"
  | "list_late";

/** What a failure can act on. */
export interface FailureContext {
  site: Site;
  clock: Clock;
  /** Multiplies the usual load by a factor until the next call. */
  setBurst: (factor: number) => void;
  /** Lets two operators publish concurrently, based on the same version. */
  publishConcurrently: () => Promise<void>;
}

/** A failure that can be started and ended. */
export interface Failure {
  name: FailureName;
  /** What users see, in which order, and why. */
  story: string;
  begin(context: FailureContext): Promise<void>;
  end(context: FailureContext): Promise<void>;
}

const NO_OP = (): Promise<void> => Promise.resolve();
const SLOW_STAGE_FACTOR = 30;
/** Multiplies the instance list's lag of 100 ms. */
const LIST_LAG_FACTOR = 100;
const SLOW_LOG_FACTOR = 15;
const BURST_FACTOR = 6;
const CUT_ANSWERS = 12;
const LOST_ANSWERS = 6;

function findEntry({ site }: FailureContext, name = "entry-2"): SiteEntry {
  const entry = site.entries.find((candidate) => candidate.name === name);
  if (entry === undefined) throw new Error(`no entry ${name} in the site`);
  return entry;
}

function findEndpoint({ site }: FailureContext, id: string): SiteEndpoint {
  const endpoint = site.endpoints.find((candidate) => candidate.id === id);
  if (endpoint === undefined) throw new Error(`no endpoint ${id} in the site`);
  return endpoint;
}

async function replaceEndpoint(
  context: FailureContext,
  id: string,
): Promise<void> {
  findEndpoint(context, id).process.send("SIGKILL");
  await context.site.startEndpoint(id);
}

/** All failures, in a fixed order. */
export const FAILURES: readonly Failure[] = [
  {
    name: "stage_slow",
    story:
      "Drafts take seconds longer for every other handler: one encoder is " +
      "thirty times slower, and its answers arrive after hedged attempts.",
    begin: (context) =>
      context.site.setFaults(findEndpoint(context, "encoder-1").address, {
        slowFactor: SLOW_STAGE_FACTOR,
      }),
    end: (context) =>
      context.site.setFaults(findEndpoint(context, "encoder-1").address, {
        slowFactor: 1,
      }),
  },
  {
    name: "stage_dead",
    story:
      "Some drafts stop in the middle: an encoder and an engine crash at " +
      "once with work in progress, and the instance list still has them as live.",
    begin(context) {
      findEndpoint(context, "encoder-1").process.send("SIGKILL");
      findEndpoint(context, "engine-1").process.send("SIGKILL");
      return NO_OP();
    },
    async end({ site }) {
      await site.startEndpoint("encoder-1");
      await site.startEndpoint("engine-1");
    },
  },
  {
    name: "burst",
    story: "On the day bills go out, six times the usual requests arrive; " +
      "some must be refused, and none of those may have run.",
    begin({ setBurst }) {
      setBurst(BURST_FACTOR);
      return NO_OP();
    },
    end({ setBurst }) {
      setBurst(1);
      return NO_OP();
    },
  },
  {
    name: "process_killed",
    story:
      "Answers are cut off: an entry is killed while it serves requests. " +
      "Callers resume streams elsewhere and query the outcome of the others.",
    begin(context) {
      findEntry(context).process.send("SIGKILL");
      return NO_OP();
    },
    async end({ site }) {
      await site.startEntry("entry-2");
    },
  },
  {
    name: "process_frozen",
    story:
      "Requests hang: an entry is frozen with requests in progress, callers " +
      "switch to other entries, and then it resumes where it stopped.",
    begin(context) {
      findEntry(context).process.send("SIGSTOP");
      return NO_OP();
    },
    end(context) {
      findEntry(context).process.send("SIGCONT");
      return NO_OP();
    },
  },
  {
    name: "connection_cut",
    story:
      "Answers of endpoints are cut off in the middle, after the work was " +
      "done, so the connection does not show whether the request ran.",
    async begin(context) {
      for (const id of ["encoder-1", "engine-1", "billing-1"]) {
        await context.site.setFaults(findEndpoint(context, id).address, {
          cutAnswers: CUT_ANSWERS,
        });
      }
    },
    async end(context) {
      for (const id of ["encoder-1", "engine-1", "billing-1"]) {
        await context.site.setFaults(findEndpoint(context, id).address, {
          cutAnswers: 0,
        });
      }
    },
  },
  {
    name: "log_away",
    story:
      "The platform's log refuses every call. Requests are still served, except " +
      "those whose id has to be claimed in the log.",
    begin: ({ site }) => site.setFaults(site.log.address, { away: true }),
    end: ({ site }) => site.setFaults(site.log.address, { away: false }),
  },
  {
    name: "log_slow",
    story: "The log answers after 300 ms. Claims and publishes take longer.",
    begin: ({ site }) =>
      site.setFaults(site.log.address, { slowFactor: SLOW_LOG_FACTOR }),
    end: ({ site }) => site.setFaults(site.log.address, { slowFactor: 1 }),
  },
  {
    name: "append_lost",
    story: "Appends take effect but their answers are lost: a claim seems " +
      "refused although it is valid, a publish failed although it is in force.",
    begin: ({ site }) =>
      site.setFaults(site.log.address, { loseAnswers: LOST_ANSWERS }),
    end: ({ site }) => site.setFaults(site.log.address, { loseAnswers: 0 }),
  },
  {
    name: "lapsed_lease",
    story: "The entry that orders the engines is paused for longer than its " +
      "lease, another takes over, and the first resumes and uses its old lease.",
    async begin(context) {
      const holder = await findLeaseHolder(context);
      holder.process.send("SIGSTOP");
      pausedHolders.set(context.site, holder);
    },
    end(context) {
      pausedHolders.get(context.site)?.process.send("SIGCONT");
      return NO_OP();
    },
  },
  {
    name: "operators_at_once",
    story:
      "Two operators concurrently publish different targets based on the " +
      "same version. One of them gets a conflict.",
    begin: ({ publishConcurrently }) => publishConcurrently(),
    end: NO_OP,
  },
  {
    name: "list_late",
    story: "The instance list is not updated while an encoder is replaced by " +
      "one at another address; the old address refuses connections.",
    async begin(context) {
      await context.site.setFaults(context.site.instanceListAddress, {
        slowFactor: LIST_LAG_FACTOR,
      });
      findEndpoint(context, "encoder-1").process.send("SIGKILL");
    },
    async end(context) {
      await context.site.setFaults(context.site.instanceListAddress, {
        slowFactor: 1,
      });
      await replaceEndpoint(context, "encoder-1");
    },
  },
];

/** The lease holder that was paused, by site. */
const pausedHolders = new WeakMap<Site, SiteEntry>();

/** Finds the entry that acquired the lease last, from the entries' timelines. */
async function findLeaseHolder({ site }: FailureContext): Promise<SiteEntry> {
  let holder = site.entries[0]!;
  let latest = -1;
  for (const entry of site.entries) {
    const events = await site.call({
      method: "GET",
      address: entry.controlAddress,
      path: "/operators/timeline",
      headers: { authorization: `Bearer ${site.operatorKey}` },
    }) as { kind: string; time: { millis: number } }[];
    const acquired = events.findLast(({ kind }) => kind === "lease_acquired");
    if (acquired === undefined || acquired.time.millis < latest) continue;
    latest = acquired.time.millis;
    holder = entry;
  }
  return holder;
}
