import { expect } from "chai";
import { listStreamViolations, parseEvents } from "./stream_callers.ts";

/** Guards against events that the soak test's check of streams does not see. */
describe("events that a caller of streams received", () => {
  it("are all but blocks of comments", () => {
    const blocks = [
      ...["id: 1\ndata: v1", ": x", ": x\n:y", "id: 2\ndata: v1"],
      // No part of a sound stream, and seen therefore.
      ...["data: x", ": x\ndata: x", "xyz", ""],
    ];
    expect(parseEvents(blocks.join("\n\n"))).to.deep.equal([
      { number: 1, version: "v1" },
      { number: 2, version: "v1" },
      ...Array.from({ length: 4 }, () => ({ number: 0, version: "" })),
    ]);
  });

  it("are reported if one is missing, beside comments too", () => {
    const events = parseEvents("id: 1\ndata: v1\n\n: x\n\nid: 3\ndata: v1");
    const attempt = {
      id: "r.0",
      resumes: undefined,
      entry: "e",
      sentAt: 0,
      endedAt: 1,
      status: 200,
      isResumed: false,
      events,
    };
    expect(listStreamViolations([{ id: "r", tries: [attempt] }]))
      .to.deep.equal(["r has events missing or twice"]);
  });
});
