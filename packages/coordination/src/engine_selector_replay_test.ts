import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import type { EngineView } from "./engine_selector.ts";
import { createEngineSelector } from "./engine_selector.ts";

/** One kind of request; sizes have a log-normal distribution. */
interface Load {
  name: "draft" | "answer";
  /** Requests per second. */
  rate: number;
  meanTokens: number;
  spread: number;
  maxTokens: number;
  sessions: number;
}

const LOADS: readonly Load[] = [
  {
    name: "draft",
    rate: 7,
    meanTokens: 6_600,
    spread: 1.4,
    maxTokens: 54_600,
    sessions: 175,
  },
  {
    name: "answer",
    rate: 34,
    meanTokens: 1_100,
    spread: 1,
    maxTokens: 6_900,
    sessions: 380,
  },
];
const ENGINES = 13;
const SECONDS = 60;
const TOKENS_PER_MS = 64;
/**
 * Processing time per squared token: the cost of a token grows with the tokens
 * before it.
 */
const MS_PER_SQUARED_TOKEN = 0.3e-6;
/** An answer is late if its first event comes later than this after the stages. */
const MAX_WAIT = 300;

interface Arrival {
  at: number;
  load: Load;
  session: string;
  tokens: number;
}

function generateArrivals(seed: number, burst: number): Arrival[] {
  const random = new Random(MersenneTwister19937.seed(seed));
  const randomUnit = () => random.realZeroToOneExclusive();
  const arrivals = LOADS.flatMap((load) => {
    const list: Arrival[] = [];
    const randomGap = () =>
      -Math.log(randomUnit()) * 1_000 / (load.rate * burst);
    for (let at = randomGap(); at < 1_000 * SECONDS; at += randomGap()) {
      const normal = Math.sqrt(-2 * Math.log(randomUnit())) *
        Math.cos(2 * Math.PI * randomUnit());
      const { meanTokens, spread, maxTokens, sessions } = load;
      const size = meanTokens * Math.exp(spread * normal - spread ** 2 / 2);
      const tokens = Math.round(Math.min(maxTokens, 1 + size));
      const session = `${load.name}-${random.integer(1, sessions)}`;
      list.push({ at, load, session, tokens });
    }
    return list;
  });
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Returns the share of answers whose prompts were processed in time. */
async function replayLoad(
  { seed, burst, slotShare }: {
    seed: number;
    burst: number;
    /** Tokens of an engine's memory per slot. */
    slotShare: number;
  },
): Promise<number> {
  const clock = createFakeClock(0);
  const selector = createEngineSelector(clock);
  const freeAt = new Array<number>(ENGINES).fill(0);
  const spec = { slots: 48, tokenCapacity: 48 * slotShare };
  const engines: EngineView[] = freeAt.map((_, index) => ({
    info: {
      id: `e${index}`,
      incarnation: "1",
      pool: "p",
      place: "a",
      address: `e${index}`,
      state: "live",
    },
    load: 3,
    slowdown: 1,
  }));
  let answers = 0;
  let onTime = 0;
  for (const { at, load, session, tokens } of generateArrivals(seed, burst)) {
    await clock.advance(at - clock.now());
    const parts = [{ id: session, tokens: 500 }, { id: "own", tokens }];
    const [home] = selector.rank(parts, engines, spec);
    const index = engines.findIndex(({ info }) => info === home?.info);
    const processingTime = tokens / TOKENS_PER_MS +
      MS_PER_SQUARED_TOKEN * tokens ** 2;
    const processedAt = Math.max(at, freeAt[index] ?? 0) + processingTime;
    freeAt[index] = processedAt;
    if (load.name !== "answer") continue;
    answers++;
    if (processedAt - at <= MAX_WAIT) onTime++;
  }
  return onTime / answers;
}

// Drafts of whole files arrive between short answers. One file in ten is so
// large that its engine processes it for a second or more. Answers of sessions
// with affinity to that engine get their first event after their callers have
// stopped waiting.
describe("replay of prompts of very different sizes", () => {
  for (const burst of [1, 2]) {
    it(`serves short answers in time, at ${burst} times the load`, async () => {
      const seeds = [1, 2, 3];
      const share = async (slotShare: number) => {
        const shares = await Promise.all(
          seeds.map((seed) => replayLoad({ seed, burst, slotShare })),
        );
        return shares.reduce((sum, one) => sum + one, 0) / seeds.length;
      };
      // With this much memory per slot no prompt counts as very large.
      const shared = await share(1_000_000);
      const separate = await share(10_285);
      expect(1 - separate).to.be.below((1 - shared) / 2);
    });
  }
});
