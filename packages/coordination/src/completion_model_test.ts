import { expect } from "chai";
import type {
  CompletionModel,
  EstimateOptions,
  MeasuredAnswer,
} from "./completion_model.ts";
import { createCompletionModel } from "./completion_model.ts";
import type { EndpointInfo } from "./endpoint.ts";

function createInfo(id: string): EndpointInfo {
  const rest = { pool: "p", place: "a", address: id, state: "live" } as const;
  return { id, incarnation: "1", ...rest };
}

const FAST = createInfo("fast");
const SLOW = createInfo("slow");
/** Time of a token at an endpoint of usual speed, in milliseconds. */
const PACE = 20;
const FIRST = 100;

/** A stream of 100 tokens at the usual pace. */
function createAnswer(change: Partial<MeasuredAnswer> = {}): MeasuredAnswer {
  const tokens = change.tokens ?? 100;
  return {
    endpoint: FAST,
    firstAfter: FIRST,
    tokens,
    first: FIRST,
    took: FIRST + PACE * tokens,
    isWhole: true,
    ...change,
  };
}

describe("completion model", () => {
  function create(answers: readonly Partial<MeasuredAnswer>[] = []) {
    const model = createCompletionModel();
    answers.forEach((answer) => model.record(createAnswer(answer)));
    return model;
  }

  function repeat(count: number, answer: Partial<MeasuredAnswer> = {}) {
    return Array.from({ length: count }, () => answer);
  }

  function estimate(
    model: CompletionModel,
    tokens: number | undefined,
    { share = 1, ...options }: Partial<EstimateOptions> = {},
  ) {
    return model.estimate({ firstAfter: FIRST, tokens }, { share, ...options });
  }

  // An entry that guessed would accept streams that it has to cut off.
  it("knows nothing before an answer has ended", () => {
    const model = create([{ isWhole: false, took: 400 }]);
    expect(estimate(model, 100)).to.equal(undefined);
  });

  it("estimates by the number of tokens", () => {
    const model = create(repeat(10));
    expect([0, 10, 100, 200].map((tokens) => estimate(model, tokens)))
      .to.deep.equal([100, 300, 2_100, 4_100]);
  });

  // Streams of an endpoint that is slow would be cut off, or those of all others
  // refused.
  it("tells endpoints apart by their speed", () => {
    const model = create([
      ...repeat(10),
      ...repeat(16, { endpoint: SLOW, took: FIRST + 3 * PACE * 100 }),
      ...repeat(16),
    ]);
    const fast = estimate(model, 100, { endpoint: FAST })!;
    const slow = estimate(model, 100, { endpoint: SLOW })!;
    expect(fast).to.be.within(2_000, 2_300);
    expect(slow).to.be.within(6_000, 6_300);
  });

  // A short stream with one pause would make long ones look endless.
  it("adds the pause of a short stream instead of multiplying it", () => {
    const pause = { tokens: 10, took: FIRST + 10 * PACE + 300 };
    const model = create([...repeat(10), pause]);
    expect(estimate(model, 100)).to.be.within(2_300, 2_700);
  });

  it("counts the longest delay before the first event", () => {
    const late = { first: 600, took: 600 + PACE * 100 };
    const model = create([...repeat(10), late]);
    expect(estimate(model, 100)).to.equal(2_600);
  });

  // Streams that are cut off are the longest ones. Without them an endpoint that
  // has become slow would look as fast as its shortest streams.
  it("counts a stream that was cut off once it took longer", () => {
    const cut = { isWhole: false, took: FIRST + 2 * PACE * 100 };
    const soon = { isWhole: false, took: FIRST + 200 };
    const model = create([...repeat(10), soon, soon]);
    expect(estimate(model, 100)).to.equal(2_100);
    model.record(createAnswer(cut));
    expect(estimate(model, 100)).to.equal(4_100);
  });

  it("takes streams of unknown length for as long as recent ones", () => {
    const lengths = [500, 1_000, 2_000, 4_000];
    const model = create(lengths.map((time) => ({
      tokens: undefined,
      took: FIRST + time,
    })));
    expect(estimate(model, undefined)).to.be.greaterThan(4_000);
  });

  it("estimates for a share of the answers", () => {
    const model = create([
      ...repeat(20),
      ...repeat(5, { took: FIRST + 2 * PACE * 100 }),
    ]);
    const shares = [0.5, 0.8, 1].map((share) =>
      estimate(model, 100, { share })
    );
    expect(shares).to.deep.equal([2_100, 2_100, 4_100]);
  });

  it("follows an endpoint that has recovered", () => {
    const model = create([
      ...repeat(10),
      ...repeat(5, { took: FIRST + 3 * PACE * 100 }),
      ...repeat(100),
    ]);
    expect(estimate(model, 100)).to.be.within(2_000, 2_500);
  });
});
