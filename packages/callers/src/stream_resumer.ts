/**
 * Resumes a streamed response at other entries until it is complete.
 *
 * @module
 */
import type { Failure } from "@mangoreach/coordination";
import type { Clock, HttpClient, Millis } from "@mangoreach/shared";
import { startTimeout } from "@mangoreach/shared";
import { Result } from "true-myth";
import type { AddressBook } from "./address_book.ts";
import {
  createUnreachableFailure,
  readFailure,
  RETRYABLE_KINDS,
} from "./caller_failures.ts";
import { CALLER_PATHS } from "./caller_protocol.ts";
import type { StreamEnd, StreamProgress } from "./stream_reader.ts";
import { readCallerStream } from "./stream_reader.ts";

/** Resumes streams. */
export interface StreamResumer {
  /**
   * Reads the rest into `progress`; returns how often the stream was resumed.
   */
  resume(
    progress: StreamProgress,
    options: ResumeOptions,
  ): Promise<Result<number, Failure>>;
}

/** Options of {@linkcode StreamResumer.resume}. */
export interface ResumeOptions {
  deadlineAt: Millis;
  onToken: (token: string, sequence: number) => void;
}

/** Options of {@linkcode createStreamResumer}. */
export interface StreamResumerOptions {
  clock: Clock;
  http: HttpClient;
  addresses: AddressBook;
  authorization: string;
}

const OK = 200;
const RESUME_DELAY: Millis = 50;
/**
 * Share of the remaining time after which an unresponsive entry is abandoned.
 */
const RESPONSE_TIMEOUT_SHARE = 0.3;

/** Creates the stream resumer of a client. */
export function createStreamResumer(
  { clock, http, addresses, authorization }: StreamResumerOptions,
): StreamResumer {
  async function resume(
    progress: StreamProgress,
    options: ResumeOptions,
  ): Promise<Result<number, Failure>> {
    let failure = createUnreachableFailure();
    for (let resumes = 1; clock.now() < options.deadlineAt; resumes++) {
      const entries = await addresses.list();
      const entry = entries[resumes % Math.max(1, entries.length)];
      if (entry === undefined) break;
      const end = await resumeAt(entry.address, { progress, options });
      if (end.kind === "done") return Result.ok(resumes);
      if (end.kind === "failed") {
        failure = end.failure;
        if (!RETRYABLE_KINDS.has(failure.kind)) return Result.err(failure);
      }
      addresses.demote(entry.address);
      await clock.sleep(RESUME_DELAY);
    }
    return Result.err({ ...failure, verdict: "may_have_run" });
  }

  async function resumeAt(
    address: string,
    { progress, options }: { progress: StreamProgress; options: ResumeOptions },
  ): Promise<StreamEnd> {
    const remaining = options.deadlineAt - clock.now();
    const deadline = startTimeout(clock, remaining);
    // A frozen entry accepts the connection but sends no response.
    const responseTimeout = startTimeout(
      clock,
      remaining * RESPONSE_TIMEOUT_SHARE,
    );
    const { resumeToken, tokens } = progress;
    const reply = await http.callStream({
      method: "GET",
      address,
      path: `${CALLER_PATHS.streams}${resumeToken}?next=${tokens.length}`,
      headers: { authorization },
      signal: AbortSignal.any([deadline.signal, responseTimeout.signal]),
    });
    responseTimeout.stop();
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
