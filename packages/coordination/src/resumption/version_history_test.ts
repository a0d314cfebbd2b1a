import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EndpointInfo } from "../endpoint.ts";
import {
  createVersionHistory,
  findOnlyVersion,
  MAX_STREAM_LIFETIME,
} from "./version_history.ts";

const PERIOD = 10_000;
const SETTLED = 2_500;

function createEndpoint(id: string, version: string | undefined): EndpointInfo {
  return {
    id,
    incarnation: "1",
    pool: "pool",
    ...(version === undefined ? {} : { version }),
    place: "here",
    address: id,
    state: "live",
  };
}

function createHistory() {
  const clock = createFakeClock(0);
  const history = createVersionHistory(clock);
  const update = (versions: Record<string, string | undefined>) =>
    history.update(
      Object.entries(versions).map(([id, version]) =>
        createEndpoint(id, version)
      ),
    );
  const findOnly = () => findOnlyVersion([history.read("pool")], PERIOD);
  return { clock, history, update, findOnly };
}

describe("version history", () => {
  it("knows the only version of a pool once it was watched for a period", async () => {
    const { clock, update, findOnly } = createHistory();
    update({ a: "v1", b: "v1" });
    const atOnce = findOnly();
    await clock.advance(PERIOD);
    expect([atOnce, findOnly()]).to.deep.equal([undefined, "v1"]);
  });

  // A stream may have begun at an endpoint that is gone.
  it("counts a version for a period after its last endpoint has gone", async () => {
    const { clock, update, findOnly } = createHistory();
    update({ a: "v1", b: "v2" });
    await clock.advance(PERIOD);
    update({ b: "v2" });
    const found = [findOnly()];
    await clock.advance(PERIOD);
    found.push(findOnly());
    await clock.advance(1);
    found.push(findOnly());
    expect(found).to.deep.equal([undefined, undefined, "v2"]);
  });

  it("has several versions until the others have gone for long", async () => {
    const { clock, history, update } = createHistory();
    const found: boolean[] = [];
    const steps = [{ a: "v1" }, { a: "v1", b: "v2" }, { a: "v1" }, { a: "v1" }];
    for (const versions of steps) {
      update(versions);
      found.push(history.hasSeveral("pool"));
      await clock.advance(MAX_STREAM_LIFETIME + 1);
    }
    expect(found).to.deep.equal([false, true, true, false]);
  });

  // Endpoints may have come and gone while nothing was read.
  it("begins anew after a gap", async () => {
    const { clock, history, update, findOnly } = createHistory();
    update({ a: "v1" });
    await clock.advance(PERIOD);
    history.handleGap();
    update({ a: "v1" });
    const atOnce = findOnly();
    await clock.advance(PERIOD);
    expect([atOnce, findOnly()]).to.deep.equal([undefined, "v1"]);
  });

  // All entries may stop at once; their records outlive them.
  it("knows at once what entries before it have recorded", () => {
    const { history, update, findOnly } = createHistory();
    update({ a: "v2" });
    const found = [findOnly()];
    history.adoptRecorded("pool", ["v2"]);
    found.push(findOnly());
    history.adoptRecorded("pool", ["v1", "v2"]);
    found.push(findOnly());
    expect([found, history.hasSeveral("pool")])
      .to.deep.equal([[undefined, "v2", undefined], true]);
  });

  // A stream may have begun at it long before this entry started.
  it("counts a recorded version for the longest lifetime of a stream", async () => {
    const { clock, history, update } = createHistory();
    history.adoptRecorded("pool", ["v1", "v2"]);
    update({ a: "v2" });
    const findOnly = () =>
      findOnlyVersion([history.read("pool")], MAX_STREAM_LIFETIME);
    await clock.advance(MAX_STREAM_LIFETIME);
    const found = [findOnly()];
    await clock.advance(1);
    found.push(findOnly());
    expect(found).to.deep.equal([undefined, "v2"]);
  });

  it("does not know the version of a pool without versions", async () => {
    const { clock, update, findOnly } = createHistory();
    update({ a: undefined, b: undefined });
    await clock.advance(PERIOD);
    expect(findOnly()).to.equal(undefined);
  });

  // A peer may not have read yet of a version that is known elsewhere.
  it("has no only version if one of several views has another", () => {
    const view = (watchedFor: number, version: string) => ({
      watchedFor,
      versions: [{ version, seenAgo: 0 }],
    });
    const found = [
      [view(PERIOD, "v1"), view(0, "v1")],
      [view(PERIOD, "v1"), view(0, "v2")],
      [view(PERIOD - 1, "v1"), view(0, "v1")],
      [],
    ].map((views) => findOnlyVersion(views, PERIOD));
    expect(found).to.deep.equal(["v1", undefined, undefined, undefined]);
  });

  // Another entry may still know the version before, and so may a stream.
  it("does not know a version that changed under its id", async () => {
    const { clock, history, update, findOnly } = createHistory();
    update({ a: "v1", b: "v1" });
    await clock.advance(PERIOD);
    update({ a: "v2", b: "v1" });
    const read = () => [
      history.readVersion(createEndpoint("a", "v2")),
      history.hasChanged("a"),
      findOnly(),
    ];
    const changed = read();
    await clock.advance(61_000);
    expect([changed, read()]).to.deep.equal([
      [undefined, true, undefined],
      ["v2", false, undefined],
    ]);
  });

  // Entries that read the endpoints later would take the other for the only one.
  it("settles a second version only once all entries know it", async () => {
    const { clock, history, update } = createHistory();
    const isSettled = (id: string, version: string) =>
      history.isSettled(createEndpoint(id, version));
    update({ a: "v1" });
    const first = isSettled("a", "v1");
    update({ a: "v1", b: "v2" });
    const found = [isSettled("b", "v2")];
    await clock.advance(SETTLED - 1);
    found.push(isSettled("b", "v2"));
    await clock.advance(1);
    found.push(isSettled("b", "v2"));
    expect([first, found]).to.deep.equal([true, [false, false, true]]);
  });

  // Streams would begin at a version that other entries do not know yet.
  it("settles no version whose record comes before its endpoints", async () => {
    const { clock, history, update } = createHistory();
    const isSettled = () => history.isSettled(createEndpoint("b", "v2"));
    update({ a: "v1" });
    history.adoptRecorded("pool", ["v1", "v2"]);
    update({ a: "v1", b: "v2" });
    const found = [isSettled()];
    await clock.advance(SETTLED);
    expect([...found, isSettled()]).to.deep.equal([false, true]);
  });

  it("settles none of several versions that it finds at its start", async () => {
    const { clock, history, update } = createHistory();
    update({ a: "v1", b: "v2" });
    const read = () =>
      ["v1", "v2"].map((version) =>
        history.isSettled(createEndpoint(version, version))
      );
    const atOnce = read();
    await clock.advance(SETTLED);
    expect([atOnce, read()]).to.deep.equal([[false, false], [true, true]]);
  });
});
