import { expect } from "chai";
import type {
  EntryFaultSpan,
  ObservedArrival,
  SoakSignals,
} from "./endpoint_signals.ts";
import { listIgnoredSignals } from "./endpoint_signals.ts";

/** Creates arrivals of one entry at one endpoint, `gap` milliseconds apart. */
function createArrivals(
  count: number,
  { gap, signals }: { gap: number; signals: (at: number) => SoakSignals },
): ObservedArrival[] {
  return Array.from({ length: count }, (_, index) => {
    const at = index * gap;
    return {
      endpoint: "e1",
      requestId: String(index),
      at,
      signals: signals(at),
      respondedAt: at + 10,
    };
  });
}

function countIgnored(
  arrivals: readonly ObservedArrival[],
  entryFaults: readonly EntryFaultSpan[] = [],
): number {
  const requests = new Map(
    arrivals.map(({ requestId, at }) => [
      requestId,
      { entry: "entry-1", sentAt: at },
    ]),
  );
  return listIgnoredSignals(arrivals, { requests, entryFaults }).length;
}

const ENTRY_FAULT: EntryFaultSpan = {
  entry: "entry-1",
  kind: "cut",
  from: 0,
  until: 60_000,
};

describe("signals of soak endpoints", () => {
  const limited = { gap: 50, signals: () => ({ limit: 4 }) };
  const leaving = { gap: 500, signals: () => ({ isLeaving: true as const }) };
  const paused = {
    gap: 200,
    signals: (at: number) => at === 0 ? { pause: 1_500 } : {},
  };
  const CASES = [
    { name: "20 per second, limit 4", arrivals: createArrivals(200, limited) },
    {
      name: "requests up to 5 s after its leaving signal",
      arrivals: createArrivals(10, leaving),
    },
    { name: "six requests in a pause", arrivals: createArrivals(8, paused) },
  ];
  for (const { name, arrivals } of CASES) {
    it(`detects an ignored signal: ${name}`, () => {
      expect(countIgnored(arrivals)).to.be.greaterThan(0);
    });
  }

  const RESPECTED = [
    {
      name: "4 per second",
      list: createArrivals(40, { ...limited, gap: 250 }),
    },
    { name: "a limit that lasts 2 s", list: createArrivals(40, limited) },
    {
      name: "requests within 2 s of its leaving signal",
      list: createArrivals(4, leaving),
    },
    {
      name: "few requests in a pause",
      list: createArrivals(4, { ...paused, gap: 600 }),
    },
  ];
  for (const { name, list } of RESPECTED) {
    it(`reports nothing for a respected signal: ${name}`, () => {
      expect(countIgnored(list)).to.equal(0);
    });
  }

  it("excuses an entry with a link fault, except for a leaving signal", () => {
    const detected = CASES.map(({ arrivals }) =>
      countIgnored(arrivals, [ENTRY_FAULT]) > 0
    );
    expect(detected).to.deep.equal([false, true, false]);
    const stopped = CASES.map(({ arrivals }) =>
      countIgnored(arrivals, [{ ...ENTRY_FAULT, kind: "stopped" }])
    );
    expect(stopped).to.deep.equal([0, 0, 0]);
  });
});
