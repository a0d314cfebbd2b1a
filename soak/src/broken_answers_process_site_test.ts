import { expect } from "chai";
import { HEADER } from "../../platform/src/wire_names.ts";
import type { AnswerEndsSite, ScriptedAnswer } from "./answer_ends_site.ts";
import { startAnswerEndsSite } from "./answer_ends_site.ts";

const TEST_TIMEOUT_MS = 120_000;
const UPLOAD_BYTES = 4_000_000;
/** Few resets come at a moment at which they look like an end. */
const UPLOADS = 200;
const BODY = "id: 1\n\n";
const EVENTS = "Content-Type: text/event-stream";
const PART = "bytes of a part";
const STREAMS: ReadonlySet<string> = new Set(["chat", "draft"]);
const STATUSES = ["000", "00", "0000", "600", "999"];
/** A route of each kind, with the further headers of its requests. */
const ROUTES: Readonly<Record<string, readonly string[]>> = {
  plain: [],
  once: [],
  chat: [],
  draft: [`${HEADER.pieceCounts}: 1,0`, `${HEADER.pieceKey}: abc`],
};
const SOUND_ANSWER: ScriptedAnswer = {
  head: [EVENTS, `Content-Length: ${BODY.length}`],
  body: BODY,
  end: "closes",
};

/** Guards against bytes of endpoints that are no answer and reach callers. */
describe("broken answers to a process of the program", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let site: AnswerEndsSite;

  beforeEach(async () => {
    site = await startAnswerEndsSite({ isProcess: true });
  });

  afterEach(() => site.stop());

  // Guards against a part that passes as whole because its connection was reset
  // while the request was still being written.
  for (const resetDelayMs of [0, 1, 5]) {
    const answer: ScriptedAnswer = {
      head: ["Content-Type: text/plain"],
      body: PART,
      isEarly: true,
      // A timer takes a millisecond at least.
      ...(resetDelayMs === 0
        ? { end: "resets" }
        : { end: "resets_soon", resetDelayMs }),
    };

    it(`an early answer is cut if reset after ${resetDelayMs} ms`, async () => {
      const accepted: string[] = [];
      const routes = Object.entries(ROUTES);
      let unsent = 0;
      let begun = 0;
      for (let count = 0; count < UPLOADS; count++) {
        const [route, head] = routes[count % routes.length]!;
        const { status, proof, body } = await site.call(route, answer, {
          head,
          uploadBytes: UPLOAD_BYTES,
        });
        if (site.countArrivals() === 0) unsent++;
        // The reset may come before the head of the answer is read.
        const isRefused = status === 502 && proof === "length" &&
          !body.includes(PART);
        const isCut = STREAMS.has(route) && status === 200 && proof === "none";
        if (isCut) begun++;
        if (!isRefused && !isCut) {
          accepted.push(`${route}: ${status} by ${proof}: ${body}`);
        }
      }
      expect(accepted).to.deep.equal([]);
      expect(begun).to.be.greaterThan(0);
      expect(unsent).to.equal(0);
      expect(site.isAlive()).to.equal(true);
    });
  }

  // Guards against statuses that HTTP does not have.
  it("an answer with an invalid status is refused", async () => {
    const received: string[] = [];
    const expected: string[] = [];
    for (const [route, head] of Object.entries(ROUTES)) {
      for (const status of ["200", ...STATUSES]) {
        const reply = await site.call(route, {
          ...SOUND_ANSWER,
          statusLine: `HTTP/1.1 ${status} OK`,
        }, { head });
        const isSent = site.countArrivals() > 0;
        received.push(`${route}, ${status}: ${reply.status}, ${isSent}`);
        const own = status === "200" ? 200 : 502;
        expected.push(`${route}, ${status}: ${own}, true`);
      }
    }
    expect(received).to.deep.equal(expected);
    expect(site.isAlive()).to.equal(true);
  });
});
