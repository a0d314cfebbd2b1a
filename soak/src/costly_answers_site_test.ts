import { expect } from "chai";
import type { PouringFormName } from "./pouring_forms.ts";
import type { PouredRoute, PouringSite } from "./pouring_site.ts";
import { listLoadViolations, startPouringSite } from "./pouring_site.ts";

const CALLERS = 40;
/** As many as may hold answers of the largest size at once. */
const FEW_CALLERS = 4;
/** Of each of three routes; more of them are late at a cold entry anyway. */
const ROUTE_CALLERS = 14;
const LOAD_MS = 1_500;
const FEW_LOAD_MS = 3_000;
const TEST_TIMEOUT_MS = 40_000;
const PLAIN: readonly PouredRoute[] = ["once"];
const ALL: readonly PouredRoute[] = ["once", "chat", "draft"];

const LARGEST: readonly PouringFormName[] = [
  "JSON of empty lists with a length",
  "JSON of names that are indices with a length",
  "JSON of empty lists without a length",
  "JSON of names that are indices without a length",
  "the largest body",
  "the largest body of events",
];
const COSTLY_FRAMING: readonly PouringFormName[] = [
  "short header lines",
  "header lines that the connection header names",
  "trailers without end",
  "the extension of a chunk without end",
];
const CONCURRENT: readonly PouringFormName[] = [
  ...COSTLY_FRAMING,
  "the largest body",
  "the largest body of events",
];

/**
 * Guards against answers within the limits of their bytes whose heads or
 * contents fill the memory of the process or take its time.
 */
describe("an entry whose endpoints send costly answers", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let site: PouringSite | undefined;

  async function runLoad(
    { form, routes, callers = CALLERS, durationMs = LOAD_MS, mayRead = true }: {
      form: PouringFormName;
      routes: readonly PouredRoute[];
      callers?: number;
      durationMs?: number;
      mayRead?: boolean;
    },
  ): Promise<string[]> {
    site = await startPouringSite();
    const report = await site.runLoad({
      form,
      status: 200,
      routes,
      callers,
      durationMs,
      mayRead,
    });
    return listLoadViolations(report);
  }

  afterEach(() => {
    site?.stop();
    site = undefined;
  });

  for (const form of LARGEST) {
    it(`serves other clients: ${form}, of few callers`, async () => {
      expect(
        await runLoad({
          form,
          routes: PLAIN,
          callers: FEW_CALLERS,
          durationMs: FEW_LOAD_MS,
        }),
      ).to.deep.equal([]);
    });
  }

  for (const form of CONCURRENT) {
    it(`serves other clients: ${form}, of many callers`, async () => {
      expect(await runLoad({ form, routes: PLAIN })).to.deep.equal([]);
    });
  }

  for (const form of COSTLY_FRAMING) {
    it(`serves other clients: ${form}, of all routes`, async () => {
      expect(await runLoad({ form, routes: ALL, callers: ROUTE_CALLERS }))
        .to.deep.equal([]);
    });
  }

  // What a stream holds whose caller does not read is more than its bytes.
  for (
    const form of [
      "a body without a length, one byte in a write",
      "chunks of one byte, one in a write",
      "events in a chunk each",
      "the largest body of events",
    ] as const
  ) {
    it(`holds little for callers that do not read: ${form}`, async () => {
      expect(await runLoad({ form, routes: ["chat"], mayRead: false }))
        .to.deep.equal([]);
    });
  }

  it("holds little for callers that do not read: the largest body", async () => {
    const form = "the largest body";
    expect(await runLoad({ form, routes: PLAIN, mayRead: false }))
      .to.deep.equal([]);
  });
});
