import { expect } from "chai";
import type { AnswerEndsSite, EndpointEnd } from "./answer_ends_site.ts";
import { startAnswerEndsSite } from "./answer_ends_site.ts";

/** An end of an answer that callers do not notice as a delay. */
const PROMPT_MS = 150;
const TEST_TIMEOUT_MS = 60_000;
const EVENTS = ["Content-Type: text/event-stream"];
const JSON_BODY = ["Content-Type: application/json"];
const TEXT = ["Content-Type: text/plain"];
const SIZED = (length: number) => `Content-Length: ${length}`;
const CHUNKED = "Transfer-Encoding: chunked";
const ONE_CHUNK = "6\r\nid: 1\n\r\n";

/** An answer, what its endpoint then does, and what the caller receives. */
type Case = [
  head: readonly string[],
  body: string,
  end: EndpointEnd,
  outcome: string,
];

describe("ends of answers, over real connections", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let site: AnswerEndsSite;

  before(async () => {
    site = await startAnswerEndsSite();
  });

  after(() => site.stop());

  async function describeOutcome(
    route: string,
    [head, body, end]: Case,
  ): Promise<string> {
    const { status, ...received } = await site.call(route, { head, body, end });
    const sent = site.countArrivals();
    const repeats = sent === 1 ? "" : `, sent ${sent} times`;
    if (status !== 200) return `status ${status}${repeats}`;
    const isChanged = !head.includes(CHUNKED) && received.body !== body;
    const delay = received.endedAfterMs < PROMPT_MS ? "" : ", late";
    return `${
      isChanged ? "changed, " : ""
    }by ${received.proof}${delay}${repeats}`;
  }

  async function checkCases(
    route: string,
    cases: readonly Case[],
  ): Promise<void> {
    const found: Case[] = [];
    for (const [head, body, end, outcome] of cases) {
      const answer: Case = [head, body, end, outcome];
      found.push([head, body, end, await describeOutcome(route, answer)]);
    }
    expect(found).to.deep.equal(cases);
  }

  // Guards against a part of a stream that is framed as complete because its
  // connection ended in an orderly way.
  it("a stream that ends inside an event is cut", async () => {
    await checkCases("chat", [
      [EVENTS, "id: 1\n\nid: 2", "closes", "by none"],
      [EVENTS, "id: 1\n\nid: 2\n", "closes", "by none"],
      [EVENTS, "id: 1\r\n\r\nid: 2\r\n", "closes", "by none"],
      [EVENTS, "id: 1\r\rid: 2\r", "closes", "by none"],
      [EVENTS, "id: 1\n\nid: 2", "crashes", "by none"],
      [EVENTS, "id: 1\n\nid: 2", "leaves", "by none"],
      [EVENTS, "id: 1\n\nid: 2", "resets", "by none"],
    ]);
  });

  // Guards against whole streams that are cut, delayed or sent again.
  it("a stream that ends between events is whole", async () => {
    await checkCases("chat", [
      [EVENTS, "id: 1\n\nid: 2\n\n", "closes", "by chunks"],
      [EVENTS, "id: 1\r\n\r\nid: 2\r\n\r\n", "closes", "by chunks"],
      [EVENTS, "id: 1\r\rid: 2\r\r", "closes", "by chunks"],
      [EVENTS, "id: 1\n\n: bye\n", "closes", "by chunks"],
      [[], "id: 1\n\n", "closes", "by chunks"],
      [[...EVENTS, SIZED(3)], "id:", "crashes", "by chunks"],
      [[...EVENTS, CHUNKED], `${ONE_CHUNK}0\r\n\r\n`, "crashes", "by chunks"],
      [[...EVENTS, CHUNKED], `${ONE_CHUNK}0\r\n\r\n`, "keeps", "by chunks"],
    ]);
  });

  // Guards against a part that looks whole because the process of its endpoint
  // ended between two events.
  it("a stream whose endpoint ended or sent no event is cut", async () => {
    await checkCases("chat", [
      [EVENTS, "id: 1\n\n", "crashes", "by none"],
      [EVENTS, "id: 1\n\n", "leaves", "by none"],
      [EVENTS, "id: 1\n\n", "resets", "by none"],
      [EVENTS, "", "closes", "status 502, sent 2 times"],
      [EVENTS, "", "crashes", "status 502, sent 2 times"],
      [[...EVENTS, CHUNKED], ONE_CHUNK, "closes", "by none"],
    ]);
  });

  // Guards against a length that the entry adds to a body that may be a part.
  it("a body is framed by what is known of its end", async () => {
    await checkCases("plain", [
      [[], "part", "closes", "by connection"],
      [[], "part", "leaves", "by connection"],
      [[], "part", "crashes", "status 502, sent 2 times"],
      [[], "part", "resets", "status 502, sent 2 times"],
      [JSON_BODY, '{"a":1}', "closes", "by length"],
      [JSON_BODY, '{"a":1}', "crashes", "by length"],
      [JSON_BODY, '{"a":', "closes", "status 502, sent 2 times"],
      [[SIZED(4)], "part", "crashes", "by length"],
      [[SIZED(5)], "part", "closes", "status 502, sent 2 times"],
    ]);
  });

  // Guards against a request that must not run twice and is sent again.
  it("a body that broke off is not asked for again", async () => {
    await checkCases("once", [
      [[], "part", "closes", "by connection"],
      [[], "part", "crashes", "status 502"],
      [JSON_BODY, '{"a":', "closes", "status 502"],
    ]);
  });

  // Guards against a part of a stream in an unknown format that is framed as
  // complete.
  it("a stream in another format ends with its connection", async () => {
    await checkCases("chat", [
      [TEXT, "part", "closes", "by connection"],
      [TEXT, "part", "crashes", "by none"],
      [[...TEXT, SIZED(4)], "part", "crashes", "by chunks"],
    ]);
  });
});
