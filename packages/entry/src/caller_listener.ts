/**
 * The callers' port: routes requests by path. The paths for peers and operators
 * are on the control port only.
 *
 * @module
 */
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { AddressAnswer } from "@mangoreach/callers";
import {
  CALLER_HEADERS,
  CALLER_PATHS,
  parseCredentials,
} from "@mangoreach/callers";
import type {
  AddressCandidate,
  Failure,
  Membership,
} from "@mangoreach/coordination";
import {
  chooseAddresses,
  createFailure,
  formatBinding,
} from "@mangoreach/coordination";
import type { TaskSet } from "@mangoreach/shared";
import {
  createFailureAnswer,
  createJsonAnswer,
  sendAnswer,
} from "./caller_answer.ts";
import type { CredentialsCheck } from "./credentials_check.ts";
import type { EntryContext } from "./entry_context.ts";
import type { Exchange, RequestHandler } from "./request_handler.ts";
import { failMalformed, failUnauthorized } from "./request_head.ts";
import type { StreamHandler } from "./stream_handler.ts";

/** Options of {@linkcode createCallerListener}. */
export interface CallerListenerOptions {
  credentials: CredentialsCheck;
  membership: Membership;
  requests: RequestHandler;
  streams: StreamHandler;
  /** The requests in progress, which a graceful shutdown waits for. */
  tasks: TaskSet;
}

const MAX_ADDRESSES = 4;
/** Callers refresh addresses after this share of their lifetime. */
const ASK_AGAIN_SHARE = 0.7;
const MAX_PATH_LENGTH = 4_096;

/** Creates the listener of the callers' port. */
export function createCallerListener(
  context: EntryContext,
  { credentials, membership, requests, streams, tasks }: CallerListenerOptions,
): RequestListener {
  const { clock, settings, random } = context;
  const logger = context.logger.forPart("callers");

  function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const exchange = { request, response };
    tasks.add(
      route(exchange).catch((error) => {
        // An internal error must not end the process and its other requests.
        logger.error("A request failed unexpectedly.", {
          error: String(error),
        });
        refuse(exchange, failInternal());
      }),
    );
  }

  async function route(exchange: Exchange): Promise<void> {
    const { request } = exchange;
    const url = parsePath(request.url ?? "");
    if (url === undefined) {
      return refuse(exchange, failMalformed("the path is malformed"));
    }
    const { path, query } = url;
    if (path === CALLER_PATHS.addresses) {
      return checkMethod(exchange, "GET") ? sendAddresses(exchange) : undefined;
    }
    if (path.startsWith(CALLER_PATHS.pipelines)) {
      if (!checkMethod(exchange, "POST")) return;
      const name = path.slice(CALLER_PATHS.pipelines.length);
      return await requests.handlePipeline(exchange, name);
    }
    if (path.startsWith(CALLER_PATHS.services)) {
      if (!checkMethod(exchange, "POST")) return;
      const [name = "", ...rest] = path.slice(CALLER_PATHS.services.length)
        .split("/");
      return await requests.handleService(exchange, {
        name,
        path: rest.map(encodeURIComponent).join("/"),
      });
    }
    if (path.startsWith(CALLER_PATHS.streams)) {
      if (!checkMethod(exchange, "GET")) return;
      return await streams.handleResume(exchange, {
        token: path.slice(CALLER_PATHS.streams.length),
        next: query.get("next") ?? "0",
      });
    }
    refuse(exchange, failPath());
  }

  function checkMethod(exchange: Exchange, method: string): boolean {
    if (exchange.request.method === method) return true;
    refuse(exchange, failMalformed(`the method must be ${method}`));
    return false;
  }

  function sendAddresses(exchange: Exchange): void {
    const { request, response } = exchange;
    const given = parseCredentials(request.headers.authorization);
    if (given === undefined || !credentials.isAccount(given)) {
      return refuse(exchange, failUnauthorized());
    }
    const place = request.headers[CALLER_HEADERS.place];
    const { ordered, keep } = chooseAddresses(listCandidates(), {
      callerPlace: typeof place === "string" ? place : undefined,
      limit: MAX_ADDRESSES,
      random,
    });
    if (ordered.length === 0) return refuse(exchange, failNoEntry());
    const expiresAt = clock.now() + settings.timing.bindingMs;
    const answer: AddressAnswer = {
      addresses: ordered.map((candidate) => ({
        entry: candidate.entry,
        place: candidate.place,
        address: candidate.callerAddress,
        binding: formatBinding(candidate.incarnation, expiresAt),
      })),
      keep_ms: keep,
      ask_again_ms: Math.round(keep * ASK_AGAIN_SHARE),
    };
    sendAnswer(response, createJsonAnswer(answer));
  }

  function listCandidates(): AddressCandidate[] {
    const own: AddressCandidate = {
      ...membership.self,
      health: "alive",
      age: 0,
    };
    const others = membership.list()
      .map(({ record, health, age }) => ({ ...record, health, age }));
    return [own, ...others];
  }

  function refuse({ response }: Exchange, failure: Failure): void {
    sendAnswer(response, createFailureAnswer(failure), {
      retryAfterMs: failure.retryAfterMs,
    });
  }

  return handleRequest;
}

interface ParsedPath {
  path: string;
  query: URLSearchParams;
}

function parsePath(text: string): ParsedPath | undefined {
  if (text.length > MAX_PATH_LENGTH || !text.startsWith("/")) return undefined;
  try {
    const url = new URL(text, "http://entry");
    return { path: decodeURIComponent(url.pathname), query: url.searchParams };
  } catch {
    return undefined;
  }
}

function failPath(): Failure {
  return createFailure("not_found", {
    verdict: "not_run",
    message: "there is nothing at this path",
  });
}

function failNoEntry(): Failure {
  return createFailure("unavailable", {
    verdict: "not_run",
    message: "no entry takes new work",
    retryAfterMs: 1_000,
  });
}

function failInternal(): Failure {
  return createFailure("unavailable", {
    verdict: "may_have_run",
    message: "the entry failed unexpectedly; see its log",
  });
}
