/**
 * Continues a streamed answer at other entries until it is whole.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import type { Clock, HttpClient, Millis } from "@mangoreach/shared";
import { startTimeout } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { AddressBook } from "./address_book.ts";
import {
  failUnreached,
  readFailure,
  RETRIED_KINDS,
} from "./caller_failures.ts";
import { CALLER_PATHS } from "./caller_protocol.ts";
import type { StreamEnd, StreamProgress } from "./stream_reader.ts";
import { readCallerStream } from "./stream_reader.ts";

/** Continues streams. */
export interface StreamResumer {
  /** Reads the rest into `progress`; the number of times it was resumed. */
  resume(
    progress: StreamProgress,
    options: ResumeOptions,
  ): Promise<Result<number, Failure>>;
}

/** Until when, and where tokens go. */
export interface ResumeOptions {
  deadlineAt: Millis;
  onToken: (token: string, sequence: number) => void;
}

/** What a resumer needs of its client. */
export interface StreamResumerOptions {
  clock: Clock;
  http: HttpClient;
  addresses: AddressBook;
  authorization: string;
}

const OK = 200;
const RESUME_PAUSE: Millis = 50;
/** Share of the time left after which a silent entry is left for another. */
const PATIENCE_SHARE = 0.3;

/** Creates the resumer of a client. */
export function createStreamResumer(
  { clock, http, addresses, authorization }: StreamResumerOptions,
): StreamResumer {
  async function resume(
    progress: StreamProgress,
    options: ResumeOptions,
  ): Promise<Result<number, Failure>> {
    let failure = failUnreached();
    for (let resumes = 1; clock.now() < options.deadlineAt; resumes++) {
      const entries = await addresses.list();
      const entry = entries[resumes % Math.max(1, entries.length)];
      if (entry === undefined) break;
      const end = await readOn(entry.address, { progress, options });
      if (end.kind === "whole") return Result.ok(resumes);
      if (end.kind === "failed") {
        failure = end.failure;
        if (!RETRIED_KINDS.has(failure.kind)) return Result.err(failure);
      }
      addresses.demote(entry.address);
      await clock.sleep(RESUME_PAUSE);
    }
    return Result.err({ ...failure, verdict: "may_have_run" });
  }

  async function readOn(
    address: string,
    { progress, options }: { progress: StreamProgress; options: ResumeOptions },
  ): Promise<StreamEnd> {
    const remaining = options.deadlineAt - clock.now();
    const deadline = startTimeout(clock, remaining);
    // A frozen entry takes the connection and says nothing.
    const patience = startTimeout(clock, remaining * PATIENCE_SHARE);
    const { resumeToken, tokens } = progress;
    const reply = await http.callStream({
      method: "GET",
      address,
      path: `${CALLER_PATHS.streams}${resumeToken}?next=${tokens.length}`,
      headers: { authorization },
      signal: AbortSignal.any([deadline.signal, patience.signal]),
    });
    patience.stop();
    const end = await readReply();
    deadline.stop();
    return end;

    async function readReply(): Promise<StreamEnd> {
      if (reply.isErr) return { kind: "cut", message: reply.error.message };
      if (reply.value.status !== OK) {
        return { kind: "failed", failure: await readFailure(reply.value) };
      }
      const { onToken } = options;
      return await readCallerStream(reply.value, { progress, onToken });
    }
  }

  return { resume };
}
