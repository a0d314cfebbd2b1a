/**
 * Sends the requests of a plan through the embedded client, as callers do, and
 * records the history for the checker.
 *
 * @module
 */
import type { CallerClient } from "@mangoreach/callers";
import { createCallerClient } from "@mangoreach/callers";
import type { Failure } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import {
  derivePipelineOutput,
  deriveServiceAnswer,
} from "@mangoreach/standins";
import type { HistoryEntry, ReceivedAnswer, SentRequest } from "./checker.ts";
import type { Deployment, WorkPlan } from "./site_plan.ts";

/** A request to send. */
export interface PlannedRequest {
  work: WorkPlan;
  label: string;
  text: string;
}

/** Sends requests for all accounts. */
export interface CallerLoad {
  readonly history: HistoryEntry[];
  /** Sends one request; resolves with the final answer to its caller. */
  send(planned: PlannedRequest): Promise<ReceivedAnswer>;
  close(): Promise<void>;
}

/** Options of {@linkcode createCallerLoad}. */
export interface CallerLoadOptions {
  clock: Clock;
  deployment: Deployment;
  /** Addresses of entries that callers have in their own settings. */
  readKnownAddresses: () => string[];
  createUniqueText: () => string;
  /** Number of clients per account; each uses one entry at a time. */
  clientsPerAccount?: number | undefined;
  onFirstToken?: (planned: PlannedRequest, time: Millis) => void;
}

const SERVICE_PATH = "notice";
const DEFAULT_CLIENTS = 6;

/** Creates clients for all accounts of a deployment. */
export function createCallerLoad(
  {
    clock,
    deployment,
    readKnownAddresses,
    createUniqueText,
    clientsPerAccount = DEFAULT_CLIENTS,
    onFirstToken,
  }: CallerLoadOptions,
): CallerLoad {
  const history: HistoryEntry[] = [];
  const clients = new Map<string, CallerClient>();

  /** Rotates over the clients of an account, as each uses one entry at a time. */
  function getClient(account: string): CallerClient {
    const key = `${account}/${history.length % clientsPerAccount}`;
    const known = clients.get(key);
    if (known !== undefined) return known;
    const plan = deployment.plan.accounts.find(({ name }) => name === account);
    if (plan === undefined) throw new Error(`unknown account ${account}`);
    const client = createCallerClient({
      clock,
      credentials: { account, key: plan.key },
      place: plan.place,
      knownAddresses: readKnownAddresses(),
      createUniqueText,
    });
    clients.set(key, client);
    return client;
  }

  async function send(planned: PlannedRequest): Promise<ReceivedAnswer> {
    const entry: HistoryEntry = {
      sent: createSentRequest(planned, deployment),
      received: undefined,
    };
    history.push(entry);
    const startedAt = clock.now();
    const outcome = await sendWork(planned);
    const latencyMs = clock.now() - startedAt;
    entry.received = outcome.kind === "output"
      ? { kind: "answered", output: outcome.value, latencyMs }
      : {
        kind: "failed",
        verdict: outcome.failure.verdict,
        reason: outcome.failure.kind,
        latencyMs,
      };
    return entry.received;
  }

  async function sendWork(planned: PlannedRequest): Promise<SendOutcome> {
    const { work, label, text } = planned;
    const client = getClient(work.account);
    const options = {
      className: work.className,
      deadlineMs: work.deadlineMs,
      idempotent: work.isIdempotent,
      ...(work.isDated ? { id: label } : { idPart: label }),
    };
    if (work.service !== undefined) {
      const answer = await client.callService({
        ...options,
        service: work.service,
        path: SERVICE_PATH,
        body: { text },
      });
      return answer.isOk
        ? { kind: "output", value: answer.value.body }
        : { kind: "failed", failure: answer.error };
    }
    const request = {
      ...options,
      pipeline: work.pipeline ?? "",
      body: { text, prefix: work.className },
    };
    if (!work.isStreamed) {
      const answer = await client.runPipeline(request);
      return answer.isOk
        ? { kind: "output", value: answer.value.output }
        : { kind: "failed", failure: answer.error };
    }
    const answer = await client.streamPipeline(request, () => {});
    if (answer.isErr) return { kind: "failed", failure: answer.error };
    onFirstToken?.(planned, answer.value.firstTokenMs);
    return { kind: "output", value: answer.value.tokens.join("") };
  }

  async function close(): Promise<void> {
    await Promise.all([...clients.values()].map((client) => client.close()));
  }

  return { history, send, close };
}

type SendOutcome =
  | { kind: "output"; value: unknown }
  | { kind: "failed"; failure: Failure };

function createSentRequest(
  { work, label, text }: PlannedRequest,
  { config }: Deployment,
): SentRequest {
  const pipeline = config.pipelines.find(({ name }) => name === work.pipeline);
  const expected = pipeline === undefined
    ? deriveServiceAnswer(SERVICE_PATH, JSON.stringify({ text }))
    : derivePipelineOutput(pipeline.stages, text);
  return {
    label,
    className: work.className,
    isIdempotent: work.isIdempotent,
    expected,
    deadlineMs: work.deadlineMs,
  };
}
