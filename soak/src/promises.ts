/**
 * The promises that a run of the soak checks, from what callers and endpoints
 * saw.
 *
 * @module
 */
import type { SeenAnswer } from "./soak_callers.ts";
import type { RunLog } from "./soak_endpoints.ts";

/** What else has to be known. */
export interface PromiseContext {
  /** When the key `revoked` was taken away; undefined if it was not. */
  revokedAt: number | undefined;
  /** When an endpoint said that it leaves, by its key. */
  leftAt: ReadonlyMap<string, number>;
  /** From then on nothing is harmed any more. */
  calmFrom: number;
  /** The account of each key. */
  accounts: ReadonlyMap<string, string>;
}

/** A key that was taken away opens nothing after this time. */
const REVOKE_MS = 5_000;
/** A leaving endpoint gets nothing after this time. */
const DRAIN_MS = 2_000;
/** These statuses promise that a request did not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Of the requests after the last fault. */
const CALM_SHARE = 0.9;

/** The promises that were broken; none if all is well. */
export function listBroken(
  answers: readonly SeenAnswer[],
  runs: RunLog,
  context: PromiseContext,
): string[] {
  const broken = answers.flatMap((answer) => listOfAnswer(answer, runs));
  for (const [id, list] of runs) {
    for (const run of list) {
      const left = context.leftAt.get(run.endpoint);
      if (left !== undefined && run.at > left + DRAIN_MS) {
        broken.push(`${id} ran at ${run.endpoint} after it had left`);
      }
    }
  }
  for (const { id, key, sentAt } of answers) {
    const ran = runs.get(id) ?? [];
    const { revokedAt } = context;
    const isRevoked = key === "revoked" && revokedAt !== undefined &&
      sentAt > revokedAt + REVOKE_MS;
    if (isRevoked && ran.length > 0) broken.push(`${id} ran with no key`);
    const account = context.accounts.get(key);
    if (ran.some((run) => run.account !== account)) {
      broken.push(`${id} ran for another account`);
    }
  }
  return [...broken, ...listCalm(answers, context)];
}

function listOfAnswer(answer: SeenAnswer, runs: RunLog): string[] {
  const { id, kind, status, fault } = answer;
  const ran = runs.get(id)?.length ?? 0;
  const broken: string[] = [];
  if (fault !== undefined) broken.push(`${id} (${kind}) got ${fault}`);
  if (kind !== "plain" && ran > 1) {
    broken.push(`${id} (${kind}) ran ${ran} times`);
  }
  if (kind !== "plain" && NOT_RUN.has(status) && ran > 0) {
    broken.push(`${id} (${kind}) was refused with ${status} and ran`);
  }
  if (status === 200 && ran === 0) broken.push(`${id} succeeded without a run`);
  return broken;
}

function listCalm(
  answers: readonly SeenAnswer[],
  { calmFrom }: PromiseContext,
): string[] {
  const calm = answers.filter(({ sentAt, key }) =>
    sentAt >= calmFrom && key !== "revoked"
  );
  const served = calm.filter(({ status }) => status === 200).length;
  if (calm.length === 0) return ["nothing was asked after the last fault"];
  const share = served / calm.length;
  return share >= CALM_SHARE
    ? []
    : [`${served} of ${calm.length} were served after the last fault`];
}
