import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import type { EndpointInfo } from "./endpoint.ts";
import { formatEndpointKey } from "./endpoint.ts";
import { createEndpointDirectory } from "./endpoint_directory.ts";

function endpoint(
  id: string,
  change: Partial<EndpointInfo> = {},
): EndpointInfo {
  return {
    id,
    incarnation: "1",
    pool: "encoder",
    place: "odda",
    address: "127.0.0.1:1",
    state: "live",
    ...change,
  };
}

describe("endpoint directory", () => {
  function create() {
    const clock = createFakeClock(0);
    const directory = createEndpointDirectory({ clock, markTtl: 1_000 });
    directory.replaceAll([endpoint("e1"), endpoint("e2")]);
    const listIds = () => directory.listUsable("encoder").map(({ id }) => id);
    return { clock, directory, listIds };
  }

  // The endpoint reports that it is leaving; the instance list lags and lists
  // it as live. New work sent to it would be cut off when it stops.
  it("prefers an endpoint's own report to the instance list", () => {
    const { directory, listIds } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")));
    expect(listIds()).to.deep.equal(["e2"]);
  });

  // The instance list is unavailable for longer than the lifetime of any mark.
  it("keeps an endpoint's own report for its lifetime", async () => {
    const { directory, listIds, clock } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")), { isSaid: true });
    await clock.advance(60_000);
    directory.replaceAll([endpoint("e1"), endpoint("e2")]);
    expect(listIds()).to.deep.equal(["e2"]);
    directory.replaceAll([endpoint("e1", { incarnation: "2" })]);
    expect(listIds()).to.deep.equal(["e1"]);
  });

  it("prefers an endpoint's own report to an inferred mark, also from peers", async () => {
    const { directory, listIds, clock } = create();
    const key = formatEndpointKey(endpoint("e1"));
    directory.markLeaving(key);
    directory.markLeaving(key, { age: 5_000, isSaid: true });
    expect(directory.chooseLeavingMarks(10)).to.deep.equal([
      { endpointKey: key, age: 5_000, isSaid: true },
    ]);
    await clock.advance(60_000);
    expect(listIds()).to.deep.equal(["e2"]);
    expect(directory.chooseLeavingMarks(10)).to.deep.equal([]);
  });

  it("drops a false alarm that the instance list does not confirm", async () => {
    const { directory, listIds, clock } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")));
    await clock.advance(1_001);
    expect(listIds()).to.deep.equal(["e1", "e2"]);
  });

  it("applies the instance list at once", () => {
    const { directory, listIds } = create();
    directory.replaceAll([
      endpoint("e1", { state: "leaving" }),
      endpoint("e2"),
    ]);
    expect(listIds()).to.deep.equal(["e2"]);
  });

  it("treats another incarnation at the same address as a new endpoint", () => {
    const { directory, listIds } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")));
    directory.replaceAll([endpoint("e1", { incarnation: "2" })]);
    expect(listIds()).to.deep.equal(["e1"]);
  });

  // Two entries could send a mark back and forth, so that a false alarm never
  // expires. The mark's age is sent with it, so it expires everywhere.
  it("does not keep a mark alive that peers send back", async () => {
    const { directory, listIds, clock } = create();
    const key = formatEndpointKey(endpoint("e1"));
    directory.markLeaving(key);
    await clock.advance(900);
    const [mark] = directory.chooseLeavingMarks(10);
    directory.markLeaving(key, mark);
    await clock.advance(200);
    expect(listIds()).to.deep.equal(["e1", "e2"]);
    expect(directory.markLeaving(key, { age: 1_100 })).to.equal(false);
  });

  // An endpoint that leaves must get no requests 2 s later, counted from when it
  // said so; the list is read some time after that.
  it("lists endpoints that have just begun to leave", async () => {
    const clock = createFakeClock(10_000);
    let listAge = Infinity;
    const directory = createEndpointDirectory({
      clock,
      markTtl: 1_000,
      readListAge: () => listAge,
    });
    const leaving = { state: "leaving" } as const;
    const listLeaving = () =>
      directory.listLeaving("encoder", 1_000).map(({ id }) => id);
    directory.replaceAll([endpoint("e1", leaving), endpoint("e2")]);
    const found = [listLeaving()];
    listAge = 400;
    const all = ["e1", "e2", "e3"].map((id) => endpoint(id, leaving));
    directory.replaceAll(all);
    directory.markLeaving(formatEndpointKey(endpoint("e3")), { isSaid: true });
    found.push(listLeaving());
    await clock.advance(600);
    directory.replaceAll(all);
    found.push(listLeaving());
    await clock.advance(1);
    found.push(listLeaving());
    expect(found).to.deep.equal([[], ["e2"], ["e2"], []]);
  });
});
