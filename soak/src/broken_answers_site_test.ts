import { expect } from "chai";
import { HEADER } from "../../platform/src/wire_names.ts";
import type { AnswerEndsSite, ScriptedAnswer } from "./answer_ends_site.ts";
import { startAnswerEndsSite } from "./answer_ends_site.ts";

const TEST_TIMEOUT_MS = 60_000;
const UPLOAD_BYTES = 4_000_000;
/** Few resets come at a moment at which they look like an end. */
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
      const route = count % 2 === 0 ? "once" : "chat";
      const { status, proof } = await site.call(route, {
        head: ["Content-Type: text/plain"],
        body: "part",
        isEarly: true,
        end: "resets_soon",
      }, { uploadBytes: UPLOAD_BYTES });
      const outcome = `${route}: ${status} by ${proof}`;
      received[outcome] = (received[outcome] ?? 0) + 1;
    }
    expect(received).to.deep.equal({
      "once: 502 by length": EARLY_ANSWERS / 2,
      "chat: 200 by none": EARLY_ANSWERS / 2,
    });
  });

  // Guards against statuses that HTTP does not have.
  it("an answer with an invalid status is refused", async () => {
    const lines = [
      ...["000", "001", "099", "20", "-20", "+20", "2O0", "2000", "600", "999"]
        .map((status) => `HTTP/1.1 ${status} OK`),
      "HTTP/1.1  200 OK",
      "HTTP/1.1 101 Switching Protocols",
    ];
    const answers = Object.fromEntries(
      lines.map((statusLine) => [statusLine, { statusLine }]),
    );
    expect(await listAccepted(answers)).to.deep.equal([]);
  });

  // Guards against a version whose messages are framed in another way.
  it("an answer of another version of HTTP is refused", async () => {
    const answers = Object.fromEntries(
      ["HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "http/1.1", "ICY"].map((
        version,
      ) => [version, { statusLine: `${version} 200 OK` }]),
    );
    expect(await listAccepted(answers)).to.deep.equal([]);
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

  // Guards against the bytes of a coding that are taken for the body.
  it("an answer in an unknown transfer coding is refused", async () => {
    const codings = [
      ...["xchunked", "chunked, gzip", "gzip, chunked", "gzip", "identity"],
      ...["chunked, chunked", "chunked;a=b", '"chunked"', ""],
    ];
    const body = `7\r\n${BODY}\r\n0\r\n\r\n`;
    const answers = Object.fromEntries(
      codings.map((coding) => [
        coding,
        { head: [EVENTS, `Transfer-Encoding: ${coding}`], body },
      ]),
    );
    expect(
      await listAccepted({
        ...answers,
        "HTTP/1.0": {
          statusLine: "HTTP/1.0 200 OK",
          head: [EVENTS, "Transfer-Encoding: chunked"],
          body,
        },
      }),
    ).to.deep.equal([]);
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
    expect(await listAccepted(answers)).to.deep.equal([]);
  });

  // Guards against the same at an endpoint that takes a stream up.
  it("a stream is not resumed by a broken answer", async () => {
    const begun = await site.call("chat", SIZED_ANSWER);
    site.countArrivals();
    const head = [`${HEADER.resumes}: r-0`, `${HEADER.lastEvent}: 1`];
    const outcomes: string[] = [];
    for (
      const answer of [
        {},
        { statusLine: "HTTP/1.1 600 OK" },
        { statusLine: "HTTP/2.0 200 OK" },
        { head: [EVENTS, "Transfer-Encoding: xchunked"] },
        { head: [EVENTS, SIZED, "X Y: 1"] },
        { sentBytes: 40 },
      ]
    ) {
      const { status, proof } = await site.call(
        "chat",
        { ...SIZED_ANSWER, ...answer },
        { head },
      );
      const isSent = site.countArrivals() > 0;
      outcomes.push(`${isSent ? "sent" : "not sent"}: ${status} by ${proof}`);
    }
    expect(begun.status).to.equal(200);
    expect(outcomes).to.deep.equal([
      "sent: 200 by chunks",
      ...Array.from({ length: 5 }, () => "sent: 502 by length"),
    ]);
  });

  // Guards against results that are taken from a broken answer.
  it("a stage takes no results from a broken answer", async () => {
    const head = [
      `${HEADER.pieceCounts}: 1,0`,
      `${HEADER.pieceKey}: abc`,
    ];
    const outcomes: string[] = [];
    for (
      const answer of [
        {},
        { statusLine: "HTTP/2.0 200 OK" },
        { head: ["Transfer-Encoding: xchunked"] },
        { head: ["X Y: 1"] },
        { sentBytes: 40 },
      ]
    ) {
      const { status } = await site.call("draft", {
        head: [],
        body: "",
        end: "closes",
        isForStages: true,
        ...answer,
      }, { head });
      const isSent = site.countArrivals() > 0;
      outcomes.push(`${isSent ? "sent" : "not sent"}: ${status === 200}`);
    }
    expect(outcomes).to.deep.equal([
      "sent: true",
      ...Array.from({ length: 4 }, () => "sent: false"),
    ]);
  });

  // Guards against refused answers that operators cannot see.
  it("malformed heads are counted", async () => {
    for (
      const statusLine of ["HTTP/1.1 600 OK", "HTTP/2.0 200 OK", "SSH-2.0-x"]
    ) {
      await site.call("once", { ...SIZED_ANSWER, statusLine });
    }
    const [line = ""] = await site.readMetric(
      "mangoreach_answers_malformed_total",
    );
    expect(line).to.match(/source="endpoint".* 3$/);
  });
});
