import { expect } from "chai";
import type { PouringFormName } from "./pouring_forms.ts";
import { POURING_FORMS } from "./pouring_forms.ts";
import type { PouringSite } from "./pouring_site.ts";
import { listLoadViolations, startPouringSite } from "./pouring_site.ts";

const ROUTES = ["once", "chat", "draft"] as const;
const CALLERS = 14;
const LOAD_MS = 1_500;
/** Of a core, for each machine of a small deployment. */
const CORE_SHARE = 0.675;
const TEST_TIMEOUT_MS = 40_000;

/** Guards against answers that cost more than their bytes and have no end. */
describe("an entry whose endpoints pour", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let site: PouringSite | undefined;

  async function runLoad(
    { form, status, coreShare }: {
      form: PouringFormName;
      status: number;
      coreShare?: number;
    },
  ): Promise<string[]> {
    site = await startPouringSite(
      coreShare === undefined ? {} : { coreShare },
    );
    const report = await site.runLoad({
      form,
      status,
      routes: ROUTES,
      callers: CALLERS,
      durationMs: LOAD_MS,
    });
    return listLoadViolations(report);
  }

  // Endpoints that have poured are left alone for a while.
  afterEach(() => {
    site?.stop();
    site = undefined;
  });

  for (const form of Object.keys(POURING_FORMS) as PouringFormName[]) {
    for (const status of [200, 500]) {
      it(`serves other clients: ${form}, ${status}`, async () => {
        expect(await runLoad({ form, status })).to.deep.equal([]);
      });
    }
  }

  describe("with a share of a core", () => {
    for (
      const form of [
        "chunks of one byte",
        "events in a chunk each",
        "events, many in a chunk",
      ] as const
    ) {
      it(`serves other clients: ${form}`, async () => {
        expect(await runLoad({ form, status: 200, coreShare: CORE_SHARE }))
          .to.deep.equal([]);
      });
    }
  });
});
