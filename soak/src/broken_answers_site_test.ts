import { expect } from "chai";
import type { AnswerEndsSite, ScriptedAnswer } from "./answer_ends_site.ts";
import { startAnswerEndsSite } from "./answer_ends_site.ts";

const TEST_TIMEOUT_MS = 60_000;
const UPLOAD_BYTES = 4_000_000;
/** A part passed as whole in one of some thirty such answers. */
const EARLY_ANSWERS = 200;
const BODY = "id: 1\n\n";
const SIZED = `Content-Length: ${BODY.length}`;
const EVENTS = "Content-Type: text/event-stream";
const ROUTES = ["plain", "once", "chat"];

const SIZED_ANSWER: ScriptedAnswer = {
  head: [EVENTS, SIZED],
  body: BODY,
  end: "closes",
};

/** Guards against bytes of endpoints that are no answer and reach callers. */
describe("broken answers, over real connections", function () {
  this.timeout(TEST_TIMEOUT_MS);
  let site: AnswerEndsSite;

  beforeEach(async () => {
    site = await startAnswerEndsSite();
  });

  afterEach(() => site.stop());

  /** Sends a request on each route; returns the answers that are accepted. */
  async function listAccepted(
    answers: Readonly<Record<string, Partial<ScriptedAnswer>>>,
  ): Promise<string[]> {
    const accepted: string[] = [];
    for (const [name, answer] of Object.entries(answers)) {
      for (const route of ROUTES) {
        const { status, proof } = await site.call(route, {
          ...SIZED_ANSWER,
          ...answer,
        });
        if (status !== 502 && (status !== 200 || proof !== "none")) {
          accepted.push(`${name}, ${route}: ${status} by ${proof}`);
        }
      }
    }
    return accepted;
  }

  // Guards against a part that passes as whole because its connection was reset
  // while the request was still being written.
  it("an early answer that is reset beside the upload is cut", async () => {
    const received: Record<string, number> = {};
    for (let count = 0; count < EARLY_ANSWERS; count++) {
      const { status, proof } = await site.call("once", {
        head: [],
        body: "part",
        isEarly: true,
        end: "resets_soon",
      }, { uploadBytes: UPLOAD_BYTES });
      const outcome = `${status} by ${proof}`;
      received[outcome] = (received[outcome] ?? 0) + 1;
    }
    expect(received).to.deep.equal({ "502 by length": EARLY_ANSWERS });
  });

  // Guards against lines of a head that parsers read in different ways.
  it("an answer with a malformed header line is refused", async () => {
    const lines = [
      ...["X Y: 1", "X\x01Y: 1", "X\0: 1", "X\x7f: 1", "X\x80: 1", "X\t: 1"],
      ...["X : 1", ": 1", "X", " X: 1", "X: a\x01", "X: a\0", "X: a\x7f"],
      ...["Content-Length : 3", "Content Length: 3", "Content-Length: +7"],
      ...["Content-Length: 3", "Transfer-Encoding : chunked"],
    ];
    const answers = Object.fromEntries(
      lines.map((line) => [
        JSON.stringify(line),
        { head: [EVENTS, SIZED, line] },
      ]),
    );
    expect(await listAccepted(answers)).to.deep.equal([]);
  });

  // Guards against a trailer that is malformed like a line of a head.
  it("an answer with a malformed trailer is refused", async () => {
    const answers = Object.fromEntries(
      ["X Y: 1", "X\x01: 1", "X : 1", ": 1", "X"].map((line) => [
        JSON.stringify(line),
        {
          head: [EVENTS, "Transfer-Encoding: chunked"],
          body: `7\r\n${BODY}\r\n0\r\n${line}\r\n\r\n`,
        },
      ]),
    );
    expect(await listAccepted(answers)).to.deep.equal([]);
  });

  // Guards against a head that stops and passes as an answer without a body.
  it("an answer that ends in its head is refused", async () => {
    const head = ["HTTP/1.1 200 OK", EVENTS, SIZED].join("\r\n");
    const answers: Record<string, Partial<ScriptedAnswer>> = {};
    for (const end of ["closes", "resets"] as const) {
      for (const sentBytes of [1, 5, 8, 9, 12, 13, 15, 16, 17, 30, 60, 80]) {
        answers[`${end} after ${sentBytes}`] = { sentBytes, end };
      }
      // The last line and the empty line after it are incomplete.
      for (const missing of ["\r\n\r\n", "\n\r\n", "\r\n", "\n"]) {
        answers[`${end} before ${JSON.stringify(missing)}`] = {
          head: [EVENTS],
          body: "",
          sentBytes: -missing.length,
          end,
        };
      }
    }
    expect(head.length).to.be.below(80);
    expect(await listAccepted(answers)).to.deep.equal([]);
  });
});
