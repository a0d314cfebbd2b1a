import type { WaitsQuery } from "@mangoreach/peers";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { answerWaitsQuery, createPoolWaitCache } from "./pool_wait_cache.ts";

/** The wait of each client account, unlike those regardless of the account. */
const OWN_WAIT = 77;
const QUERY = { pool: "pool", partition: "", priority: 1 };

/** Waits that show for which priority they were computed, and when. */
function createWaits(priority: number, now: number) {
  return { onTime: priority, late: 900, growth: now };
}

describe("waits of several priorities in one reply", () => {
  function create({ isOld = false } = {}) {
    const clock = createFakeClock(0);
    const queries: WaitsQuery[] = [];
    const cache = createPoolWaitCache({
      clock,
      fetchWaits: (query) => {
        queries.push(query);
        const read = (priority: number) => {
          const overall = createWaits(priority, clock.now());
          const { account } = query;
          return account === undefined
            ? overall
            : { ...overall, onTime: OWN_WAIT, overall };
        };
        return Promise.resolve(
          isOld ? read(query.priority) : answerWaitsQuery(query, read),
        );
      },
    });
    return { clock, cache, queries };
  }

  // Requests of four priorities arrive at a loaded pool, one every 10 ms. The
  // baseline is a dispatcher that replies with the queried priority only.
  async function measureQueries(isOld: boolean): Promise<number> {
    const { clock, cache, queries } = create({ isOld });
    for (let request = 0; request < 1_000; request++) {
      const priority = request % 4;
      const waits = await cache.read({ ...QUERY, priority });
      expect(waits.onTime).to.equal(priority);
      // The rule for a loaded pool: no older than 120 ms.
      expect(clock.now() - waits.growth).to.be.at.most(120);
      await clock.advance(10);
    }
    return queries.length;
  }

  it("takes a third of the queries for four priorities", async () => {
    const baseline = await measureQueries(true);
    expect(await measureQueries(false)).to.be.at.most(baseline / 3);
  });

  // Guards against estimates that nobody needs.
  it("are queried only for priorities that were read lately", async () => {
    const { clock, cache, queries } = create();
    await cache.read({ ...QUERY, priority: 1 });
    await clock.advance(100);
    await cache.read({ ...QUERY, priority: 2 });
    await clock.advance(130);
    await cache.read({ ...QUERY, priority: 2 });
    for (let priority = 0; priority < 40; priority++) {
      await cache.read({ ...QUERY, priority });
    }
    expect(queries.slice(0, 3).map(({ others }) => others))
      .to.deep.equal([undefined, [1], undefined]);
    expect(queries.at(-1)!.others?.length).to.be.at.most(16);
  });

  // Guards against waits of one client account that are used for another, which
  // would reveal the other's queue and refuse requests because of it.
  it("are not used for queries with other fields", async () => {
    const { cache, queries } = create();
    const query = (fields: object): WaitsQuery => ({ ...QUERY, ...fields });
    await cache.read(query({}));
    await cache.read(query({ account: "a" }));
    await cache.read(query({ account: "b" }));
    await cache.read(query({ account: "a", priority: 2 }));
    expect(queries.length).to.equal(4);
    await cache.read(query({ account: "a" }));
    expect(queries.length).to.equal(4);
    expect(queries.map(({ others }) => others))
      .to.deep.equal([undefined, undefined, undefined, [1]]);
    expect(cache.peek(query({ account: "a" }))?.onTime).to.equal(OWN_WAIT);
    // Nothing is known of its own wait, so it gets that of all accounts.
    expect(cache.peek(query({ account: "c" })))
      .to.deep.equal(createWaits(1, 0));
  });
});
