import type { Millis } from "@mangoreach/shared";
import { createFakeClock, settlePromises } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { serveRequest } from "./request_service.ts";
import { createStopWindow } from "./stop_window.ts";
import {
  createRecordedResponse,
  createTestEndpoint,
  createTestHead,
  createTestRoute,
  createTestState,
  createTestTable,
} from "./test_support.ts";

describe("serving a request", () => {
  /** Serves a request that waits for its stage or for its endpoint. */
  function serve(
    place: "stage" | "endpoint",
    {
      endpoints = ["e1"],
      accounts,
      accountShares = false,
      timeout = 4_000,
      isStopping = true,
    }: {
      endpoints?: readonly string[];
      /** Number of client accounts; by default the route needs no key. */
      accounts?: number;
      accountShares?: boolean;
      timeout?: Millis;
      /** Whether the request comes after the signal to stop. */
      isStopping?: boolean;
    } = {},
  ) {
    const clock = createFakeClock(0);
    const shutdown = new AbortController();
    const route = createTestRoute({
      isPublic: accounts === undefined,
      kind: "non_idempotent",
      timeout,
      stages: place === "stage"
        ? [{ pool: "makers", after: [], resultBytes: 1 }]
        : [],
    });
    const table = createTestTable(
      [route],
      accounts === undefined ? undefined : Array.from(
        { length: accounts },
        (_, index) => ({
          name: `account-${index}`,
          keys: [`key-${index}`],
          priority: undefined,
        }),
      ),
    );
    const sentAccounts: (string | undefined)[] = [];
    let sentCount = 0;
    const stopWindow = createStopWindow(clock, {
      stopTime: 8_000,
      onEnded: () => {},
    });
    if (isStopping) stopWindow.begin();
    const state = createTestState(clock, {
      stopWindow,
      readTable: () => table,
      accountShares,
      shutdown: shutdown.signal,
      router: {
        run: ({ account }, signal) => {
          sentAccounts.push(account);
          return new Promise((resolve) =>
            signal.addEventListener("abort", () =>
              resolve(Result.err({
                kind: "cancelled",
                verdict: "not_run",
                message: "given up",
              })))
          );
        },
        readWaits: () => Promise.resolve({ onTime: 0, late: 0, growth: 0 }),
        release: () => {},
      },
      callEndpoint: ({ signal }) => {
        sentCount++;
        return new Promise((resolve) =>
          signal.addEventListener("abort", () =>
            resolve(Result.err({
              kind: "aborted",
              sent: "maybe",
              message: "given up",
            })))
        );
      },
    });
    state.directory.replaceAll(endpoints.map((id) => createTestEndpoint(id)));
    state.configAge.recordConfirmed(state.configAge.readTime());
    const { response, seen } = createRecordedResponse();
    const task = serveRequest(state, {
      request: {
        head: createTestHead({
          budget: 20_000,
          pieceCounts: [1],
          ...(accounts === undefined ? {} : { key: "key-0" }),
        }),
        body: Buffer.alloc(0),
      },
      response,
      receivedAt: 0,
    });
    return {
      seen,
      task,
      shutdown,
      sentAccounts,
      stopWindow,
      countSent: () => sentCount,
    };
  }

  // A stopping entry may be short of processor time. Requests that still wait
  // when it must exit need an answer rather than a closed connection: without a
  // verdict the caller can't retry a request that must not run twice.
  const CASES = [
    { place: "stage", answer: "not_run", counted: { refused: 1 } },
    { place: "endpoint", answer: "may_have_run", counted: { cut: 1 } },
  ] as const;
  for (const { place, answer, counted } of CASES) {
    it(`answers what waits at the ${place} when the process ends`, async () => {
      const { seen, task, shutdown, stopWindow } = serve(place);
      await settlePromises();
      expect(seen).to.deep.equal([]);
      shutdown.abort();
      await task;
      expect(seen).to.deep.equal([answer]);
      expect(stopWindow.readCounts())
        .to.deep.equal({
          refused: 0,
          finished: 0,
          failed: 0,
          cut: 0,
          ...counted,
        });
    });
  }

  // Callers lost answers that were cut off at the end of an entry which knew on
  // their arrival that they could not end in time.
  for (const place of ["stage", "endpoint"] as const) {
    it(`refuses at once what cannot end, before its ${place}`, async () => {
      const { seen, task, sentAccounts, countSent } = serve(place, {
        timeout: 30_000,
      });
      await task;
      expect({ seen, sent: countSent() + sentAccounts.length })
        .to.deep.equal({ seen: ["not_run"], sent: 0 });
    });
  }

  // A request whose stages run at the signal would be passed on after them, and
  // its answer be cut off.
  it("refuses at the signal what waits and cannot end", async () => {
    const { seen, task, stopWindow, countSent } = serve("stage", {
      timeout: 30_000,
      isStopping: false,
    });
    await settlePromises();
    expect(seen).to.deep.equal([]);
    stopWindow.begin();
    await task;
    expect({ seen, sent: countSent(), ...stopWindow.readCounts() })
      .to.deep.equal({
        seen: ["not_run"],
        sent: 0,
        refused: 1,
        finished: 0,
        failed: 0,
        cut: 0,
      });
  });

  // All places with engines are evacuated. If the stages ran first, the request
  // would be refused a second later, and the caller would have lost that time.
  it("refuses at once before the stages if no endpoint is usable", async () => {
    const { seen, task } = serve("stage", { endpoints: [] });
    await settlePromises();
    expect(seen).to.deep.equal(["not_run"]);
    await task;
  });

  // Shares reorder the work of all accounts, so they must take effect only where
  // an operator has switched them on.
  for (const accountShares of [false, true]) {
    it(`names the account to dispatchers: ${accountShares}`, async () => {
      const { sentAccounts, task, shutdown } = serve("stage", {
        accounts: 2,
        accountShares,
      });
      await settlePromises();
      expect(sentAccounts)
        .to.deep.equal([accountShares ? "account-0" : undefined]);
      shutdown.abort();
      await task;
    });
  }
});
