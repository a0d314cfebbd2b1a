import { expect } from "chai";
import type { ObservedArrival, SentRequest } from "./endpoint_signals.ts";
import type { RepeatContext } from "./repeat_checks.ts";
import { listRepeatViolations, measureWorstWindow } from "./repeat_checks.ts";
import type { RunLog } from "./soak_endpoints.ts";

const ENDPOINT = "i-plain-0-0 1";

function createArrivals(
  count: number,
  create: (index: number) => Partial<ObservedArrival>,
): ObservedArrival[] {
  return Array.from({ length: count }, (_, index) => ({
    endpoint: ENDPOINT,
    requestId: "r",
    at: index,
    deadline: 100,
    signals: {},
    ...create(index),
  }));
}

function createContext(
  requests: Record<string, Partial<SentRequest>>,
  change: Partial<RepeatContext> = {},
): RepeatContext {
  const sent = { entry: "a", sentAt: 0, pool: "plain", budget: 2_000 };
  return {
    requests: new Map(
      Object.entries(requests).map(([id, one]) => [id, { ...sent, ...one }]),
    ),
    entryFaults: [],
    storeFaults: [],
    endpointEnds: new Map(),
    ...change,
  };
}

describe("checks of repeats", () => {
  it("count repeats of any 10 s against the requests of the best window", () => {
    const repeats = Array.from({ length: 60 }, (_, index) => 20_000 + index);
    const allowed = [
      [],
      Array.from({ length: 20 }, () => 19_000),
      Array.from({ length: 20 }, () => 6_000),
      Array.from({ length: 20 }, () => 1_000),
      Array.from({ length: 20 }, () => -1_000),
    ].map((requests) => measureWorstWindow(repeats, requests).allowed);
    expect(allowed).to.deep.equal([56, 60, 60, 60, 56]);
    const spread = Array.from({ length: 60 }, (_, index) => 200 * index);
    expect(measureWorstWindow(spread, []).repeats).to.equal(50);
  });

  it("report repeats beyond the slack", () => {
    const context = createContext({ r: {} });
    const check = (count: number) =>
      listRepeatViolations(
        createArrivals(count, () => ({})),
        new Map(),
        context,
      );
    expect(check(57)).to.deep.equal([]);
    expect(check(58)).to.deep.equal([
      "plain got 57 repeats in 10 s, allowed 56.2",
    ]);
  });

  it("report runs beyond those that a route permits", () => {
    const ids = ["1", "2", "3", "4"];
    const run = { account: undefined, path: "", at: 1 };
    const runs: RunLog = new Map(
      ids.map((id) => [
        id,
        ["x", "y", "z"].map((endpoint) => ({ ...run, endpoint })),
      ]),
    );
    const requests = Object.fromEntries(ids.map((id) => [id, {}]));
    expect(listRepeatViolations([], runs, createContext(requests)))
      .to.deep.equal(["4 requests ran at more than 2 endpoints"]);
    const endpointEnds = new Map([["x", 1]]);
    expect(
      listRepeatViolations([], runs, createContext(requests, { endpointEnds })),
    ).to.deep.equal([]);
  });

  it("report time that callers no longer have", () => {
    const ids = Array.from({ length: 21 }, (_, index) => `r-${index}`);
    const requests = Object.fromEntries(ids.map((id) => [id, {}]));
    const check = (deadline: number | undefined) =>
      listRepeatViolations(
        ids.map((requestId) => ({
          endpoint: ENDPOINT,
          requestId,
          at: 10,
          signals: {},
          ...(deadline === undefined ? {} : { deadline }),
        })),
        new Map(),
        createContext(requests),
      );
    expect([check(2_000), check(2_501), check(undefined)].map(
      (list) => list.length,
    )).to.deep.equal([0, 1, 1]);
  });

  it("report causes of crashes that go on reaching endpoints", () => {
    const ids = Array.from({ length: 9 }, (_, index) => `content-${index}`);
    const requests = Object.fromEntries(
      ids.map((id, index) => [id, { sentAt: 2_000 * index }]),
    );
    const arrivals = createArrivals(ids.length, (index) => ({
      requestId: ids[index]!,
      at: 2_000 * index,
    }));
    const check = (change: Partial<RepeatContext>) =>
      listRepeatViolations(
        arrivals,
        new Map(),
        createContext(requests, change),
      );
    expect(check({})).to.deep.equal([
      "5 requests content- reached endpoints after 3 crashes",
    ]);
    const span = { from: 11_000, until: 12_000 };
    expect(check({ entryFaults: [{ ...span, entry: "a", kind: "stopped" }] }))
      .to.deep.equal([]);
    expect(check({ storeFaults: [span] })).to.deep.equal([]);
  });
});
