/**
 * Claims dated ids in the log before their requests are dispatched. Claims of
 * requests that arrive together share one append, because the log accepts only
 * several hundred appends per second for the whole site.
 *
 * @module
 */
import type {
  Claim,
  ClaimOutcome,
  ClaimTable,
  RequestKey,
} from "@mangoreach/coordination";
import { createClaimTable } from "@mangoreach/coordination";
import type { LogClient, TailEvent } from "@mangoreach/log";
import { startLogTail } from "@mangoreach/log";
import type { Millis } from "@mangoreach/shared";
import * as z from "zod";
import type { EntryContext } from "./entry_context.ts";

/** A request whose id is to be claimed. */
export interface ClaimRequest extends RequestKey {
  issuedAt: Millis;
}

/** Claims request ids for one entry. */
export interface ClaimService {
  readonly table: ClaimTable;
  /** Claims an id; `unknown` if `signal` aborts before the log decides. */
  claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimOutcome>;
  readonly tasks: Promise<void>[];
}

const claimSchema = z.object({
  account: z.string(),
  id: z.string(),
  claimId: z.string(),
  incarnation: z.string(),
  issuedAt: z.number(),
});

const claimRecordSchema = z.object({ claims: z.array(claimSchema) });

/** How long claims are collected for one append. */
const BATCH_WINDOW: Millis = 10;
const MAX_BATCH_SIZE = 500;

/** Starts to follow the claims of all entries. */
export function startClaimService(
  context: EntryContext,
  log: LogClient,
): ClaimService {
  const { clock, signal, random, timeline, incarnation } = context;
  const logger = context.logger.forPart("log");
  const table = createClaimTable({
    clock,
    window: context.settings.timing.claimWindowMs,
  });
  let batch: Claim[] = [];

  function handleEvent(event: TailEvent): void {
    if (event.kind !== "record") return;
    const record = claimRecordSchema.safeParse(event.record.value);
    if (!record.success) {
      logger.warn("Skipped a malformed claim record.", {
        offset: event.record.offset,
      });
      return;
    }
    for (const claim of record.data.claims) table.apply(claim);
  }

  async function claim(
    { account, id, issuedAt }: ClaimRequest,
    signal: AbortSignal,
  ): Promise<ClaimOutcome> {
    const claimId = context.createUniqueText();
    const ownClaim: Claim = { account, id, claimId, incarnation, issuedAt };
    addToBatch(ownClaim);
    timeline.record("claim_appended", { request: id });
    const outcome = await table.waitFor(ownClaim, signal);
    if (outcome.kind === "lost") {
      timeline.record("claim_lost", { request: id, detail: outcome.holder });
    }
    return outcome;
  }

  function addToBatch(ownClaim: Claim): void {
    batch.push(ownClaim);
    if (batch.length === 1) clock.startTimer(BATCH_WINDOW, sendBatch);
    if (batch.length >= MAX_BATCH_SIZE) sendBatch();
  }

  function sendBatch(): void {
    if (batch.length === 0) return;
    const claims = batch;
    batch = [];
    // The acknowledgement is not needed: the log tail shows which claim was first,
    // even if the acknowledgement was lost after the append took effect.
    void log.append("claims", { claims }).then((ack) => {
      if (ack.isErr) {
        logger.warn("Append of claims was not acknowledged.", {
          reason: ack.error.message,
        });
      }
    });
  }

  const tail = startLogTail({
    clock,
    log,
    stream: "claims",
    from: 0,
    signal,
    random,
  });
  const following = tail.events.observe(handleEvent).then(() => undefined);
  return { table, claim, tasks: [tail.task, following] };
}
