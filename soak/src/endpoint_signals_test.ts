import { expect } from "chai";
import type {
  HarmedSpan,
  SeenArrival,
  SoakSignals,
} from "./endpoint_signals.ts";
import { listIgnoredSignals } from "./endpoint_signals.ts";

/** Arrivals of one entry at one endpoint, so many milliseconds apart. */
function createArrivals(
  count: number,
  { gap, signals }: { gap: number; signals: (at: number) => SoakSignals },
): SeenArrival[] {
  return Array.from({ length: count }, (_, index) => {
    const at = index * gap;
    return {
      endpoint: "e1",
      requestId: String(index),
      at,
      signals: signals(at),
      answeredAt: at + 10,
    };
  });
}

function judge(
  arrivals: readonly SeenArrival[],
  harmed: readonly HarmedSpan[] = [],
): number {
  const requests = new Map(
    arrivals.map(({ requestId, at }) => [
      requestId,
      { entry: "entry-1", sentAt: at },
    ]),
  );
  return listIgnoredSignals(arrivals, { requests, harmed }).length;
}

const HARM: HarmedSpan = {
  entry: "entry-1",
  kind: "cut",
  from: 0,
  until: 60_000,
};

describe("signals of the soak's endpoints", () => {
  const limited = { gap: 50, signals: () => ({ limit: 4 }) };
  const leaving = { gap: 500, signals: () => ({ isLeaving: true as const }) };
  const paused = {
    gap: 200,
    signals: (at: number) => at === 0 ? { pause: 1_500 } : {},
  };
  const CASES = [
    { name: "20 a second, 4 named", arrivals: createArrivals(200, limited) },
    { name: "5 s after its leaving", arrivals: createArrivals(10, leaving) },
    { name: "six in a pause", arrivals: createArrivals(8, paused) },
  ];
  for (const { name, arrivals } of CASES) {
    it(`notices what was ignored: ${name}`, () => {
      expect(judge(arrivals)).to.be.greaterThan(0);
    });
  }

  const KEPT = [
    { name: "4 a second", list: createArrivals(40, { ...limited, gap: 250 }) },
    { name: "a limit of 2 s", list: createArrivals(40, limited) },
    { name: "one within 2 s", list: createArrivals(4, leaving) },
    {
      name: "few in a pause",
      list: createArrivals(4, { ...paused, gap: 600 }),
    },
  ];
  for (const { name, list } of KEPT) {
    it(`finds nothing in what was kept: ${name}`, () => {
      expect(judge(list)).to.equal(0);
    });
  }

  it("excuses an entry that was cut, but not from an endpoint's leaving", () => {
    const broken = CASES.map(({ arrivals }) => judge(arrivals, [HARM]) > 0);
    expect(broken).to.deep.equal([false, true, false]);
    const stopped = CASES.map(({ arrivals }) =>
      judge(arrivals, [{ ...HARM, kind: "stopped" }])
    );
    expect(stopped).to.deep.equal([0, 0, 0]);
  });
});
