import { expect } from "chai";
import type { DecisionFields } from "./decision_log.ts";
import { createSignalHandler } from "./endpoint_signals.ts";
import { createTestEndpoint } from "./test_support.ts";

// Load reports arrive with every answer, so a line for each unread one would
// displace the other decisions in the log.
describe("unread load reports", () => {
  function create() {
    const lines: DecisionFields[] = [];
    const counts = { load: 0 };
    const handleSignals = createSignalHandler({
      log: { record: (kind, fields) => void lines.push({ kind, ...fields }) },
      metrics: {
        countSignal: () => {},
        countUnreadLoad: () => counts.load++,
      },
      brittle: { record: () => false },
      limits: { record: () => {}, find: () => undefined },
      directory: { markLeaving: () => false },
      pauses: { record: () => {} },
      listAt: () => [],
      reportPause: () => {},
    });
    const receive = (id: string, incarnation = "1") =>
      handleSignals(
        {
          way: "request",
          to: createTestEndpoint(id, { incarnation }),
          sentAt: 0,
        },
        { unreadLoad: "7,x" },
      );
    return { lines, counts, receive };
  }

  it("are logged once for each incarnation and always counted", () => {
    const { lines, counts, receive } = create();
    for (let index = 0; index < 5; index++) receive("e1");
    receive("e1", "2");
    expect(counts.load).to.equal(6);
    expect(lines).to.deep.equal(["1", "2"].map((incarnation) => ({
      kind: "load_report_unread",
      endpoint: "e1",
      pool: "pool",
      incarnation,
      way: "request",
      unread: "7,x",
    })));
  });

  it("are remembered for a bounded number of endpoints", () => {
    const { lines, receive } = create();
    for (let index = 0; index <= 4_096; index++) receive(`e${index}`);
    receive("e4096");
    expect(lines.length).to.equal(4_097);
    receive("e0");
    expect(lines.length).to.equal(4_098);
  });
});
