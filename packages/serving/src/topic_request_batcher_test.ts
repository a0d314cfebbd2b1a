import type { TopicReply, TopicRequest } from "@mangoreach/peers";
import type { Millis } from "@mangoreach/shared";
import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createPosition } from "./test_support.ts";
import {
  createTopicRequestBatcher,
  handleTopicRequests,
} from "./topic_request_batcher.ts";

const REPLY: TopicReply = {
  kind: "records",
  records: [],
  next: createPosition(1),
  age: 0,
};

function createRequest(
  topic: TopicRequest["topic"],
  wait: Millis,
): TopicRequest {
  return { topic, from: createPosition(1), wait, confirmWait: 0 };
}

describe("topic request batcher", () => {
  function create(answer?: readonly TopicReply[]) {
    const clock = createFakeClock(0);
    const sent: string[] = [];
    const batcher = createTopicRequestBatcher({
      clock,
      send: (address, questions) => {
        const topics = questions.map(({ topic }) => topic).join("+");
        sent.push(`${address} ${topics}`);
        return Promise.resolve(answer);
      },
    });
    return { clock, sent, batcher };
  }

  // Unbatched, 80 idle entries made four requests a second each to their
  // relays, which took more processor time than all callers' requests.
  it("sends requests to one entry in one message", async () => {
    const { clock, sent, batcher } = create([REPLY, { kind: "unknown" }]);
    const first = batcher.request("a", createRequest("config", 300));
    await clock.advance(20);
    const second = batcher.request("a", createRequest("endpoints", 600));
    const other = batcher.request("b", createRequest("members", 600));
    await clock.advance(40);
    expect(sent).to.deep.equal(["a config+endpoints", "b members"]);
    expect(await first).to.deep.equal(REPLY);
    expect(await second).to.deep.equal({ kind: "unknown" });
    expect(await other).to.deep.equal(REPLY);
  });

  // The entry that was asked first does not answer; a key may have been
  // revoked.
  it("sends a request without a wait at once", async () => {
    const { sent, batcher } = create();
    expect(await batcher.request("a", createRequest("config", 0))).to.equal(
      undefined,
    );
    expect(sent).to.deep.equal(["a config"]);
  });

  it("answers all requests once one has an update", async () => {
    const clock = createFakeClock(0);
    const waits = { config: 500, endpoints: 200, members: 3_000 };
    const createRelay = (wait: Millis) => ({
      answer: async (_: TopicRequest, signal?: AbortSignal) => {
        await clock.sleep(wait, signal);
        return REPLY;
      },
    });
    const relays = {
      config: createRelay(waits.config),
      endpoints: createRelay(waits.endpoints),
      members: createRelay(waits.members),
    };
    let answered: Millis | undefined;
    const answers = handleTopicRequests(relays, [
      createRequest("config", 500),
      createRequest("endpoints", 200),
      createRequest("members", 3_000),
    ]).then((replies) => {
      answered = clock.now();
      return replies;
    });
    await clock.advance(250);
    expect(await answers).to.have.length(3);
    expect(answered).to.equal(200);
  });
});
