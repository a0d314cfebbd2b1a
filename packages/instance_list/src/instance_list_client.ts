/**
 * The client of the platform's instance list, which lags behind changes.
 *
 * Wire format: `GET /instances?after=…` answers 200
 * `{"version":…,"instances":[…]}`, or 304 when `version` has not changed.
 *
 * @module
 */
import type { EndpointInfo, Failure } from "@mangoreach/coordination";
import { createCallFailure, createFailure } from "@mangoreach/coordination";
import type { AnswerMeter, Clock, Millis } from "@mangoreach/shared";
import {
  createHttpClient,
  createListSchema,
  createSubject,
  readReplyJson,
  startTimeout,
} from "@mangoreach/shared";
import type { Stream } from "most";
import { Result } from "true-myth";
import * as z from "zod";

/** The pool name of the system's own entries in the list. */
export const ENTRY_POOL = "entry";

const listedInstanceSchema = z.object({
  id: z.string().min(1),
  incarnation: z.string().min(1),
  pool: z.string().min(1),
  place: z.string().min(1),
  address: z.string().min(1),
  state: z.enum(["live", "leaving"]),
});

const snapshotSchema = z.object({
  version: z.number().int().min(0),
  instances: createListSchema(listedInstanceSchema),
});

/** The list as read at one time. */
export interface InstanceSnapshot {
  version: number;
  instances: EndpointInfo[];
}

/** Options of {@linkcode createInstanceListClient}. */
export interface InstanceListClientOptions {
  clock: Clock;
  /** `ip:port`. */
  address: string;
  timeoutMs: Millis;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
}

/** A client of the instance list. */
export interface InstanceListClient {
  /** Reads the list; undefined if it has not changed since version `after`. */
  read(after: number): Promise<Result<InstanceSnapshot | undefined, Failure>>;
  /** Polls the list until `signal` aborts. */
  follow(options: FollowOptions): Stream<InstanceSnapshot>;
  close(): Promise<void>;
}

/** Options of {@linkcode InstanceListClient.follow}. */
export interface FollowOptions {
  interval: Millis;
  signal: AbortSignal;
  random: () => number;
  onUnavailable: (failure: Failure) => void;
}

const OK = 200;
const NOT_MODIFIED = 304;

/** Creates the client; it connects on the first call. */
export function createInstanceListClient(
  { clock, address, timeoutMs, meter }: InstanceListClientOptions,
): InstanceListClient {
  const http = createHttpClient({ meter });

  async function read(
    after: number,
  ): Promise<Result<InstanceSnapshot | undefined, Failure>> {
    const timeout = startTimeout(clock, timeoutMs);
    const reply = await http.call({
      method: "GET",
      address,
      path: `/instances?after=${after}`,
      signal: timeout.signal,
    });
    timeout.stop();
    if (reply.isErr) {
      return Result.err(createCallFailure("instance list", reply.error));
    }
    if (reply.value.status === NOT_MODIFIED) return Result.ok(undefined);
    const body = snapshotSchema.safeParse(readReplyJson(reply.value));
    if (reply.value.status === OK && body.success) return Result.ok(body.data);
    return Result.err(createFailure("bad_reply", {
      verdict: "not_run",
      message: `instance list: unusable answer ${reply.value.status}`,
    }));
  }

  function follow(
    { interval, signal, random, onUnavailable }: FollowOptions,
  ): Stream<InstanceSnapshot> {
    const subject = createSubject<InstanceSnapshot>();
    async function poll(): Promise<void> {
      let version = -1;
      while (!signal.aborted) {
        const snapshot = await read(version);
        if (snapshot.isErr) onUnavailable(snapshot.error);
        else if (snapshot.value !== undefined) {
          version = snapshot.value.version;
          subject.push(snapshot.value);
        }
        await clock.sleep(interval * (0.75 + random() / 2), signal);
      }
      subject.end();
    }
    void poll();
    return subject.stream;
  }

  return { read, follow, close: http.close };
}
