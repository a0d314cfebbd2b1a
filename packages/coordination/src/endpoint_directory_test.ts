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
    const directory = createEndpointDirectory({ clock, markLifetime: 1_000 });
    directory.replaceAll([endpoint("e1"), endpoint("e2")]);
    const listIds = () => directory.listUsable("encoder").map(({ id }) => id);
    return { clock, directory, listIds };
  }

  // The endpoint says that it leaves; the instance list lags and calls it live.
  // New work that still went there would be cut off when it stops.
  it("believes an endpoint's own word before the instance list", () => {
    const { directory, listIds } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")));
    expect(listIds()).to.deep.equal(["e2"]);
  });

  // The instance list is away for longer than any mark lasts.
  it("believes an endpoint's own word for as long as it lives", async () => {
    const { directory, listIds, clock } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")), { isSaid: true });
    await clock.advance(60_000);
    directory.replaceAll([endpoint("e1"), endpoint("e2")]);
    expect(listIds()).to.deep.equal(["e2"]);
    directory.replaceAll([endpoint("e1", { incarnation: "2" })]);
    expect(listIds()).to.deep.equal(["e1"]);
  });

  it("takes an endpoint's own word over a guess, also from peers", async () => {
    const { directory, listIds, clock } = create();
    const key = formatEndpointKey(endpoint("e1"));
    directory.markLeaving(key);
    directory.markLeaving(key, { age: 5_000, isSaid: true });
    expect(directory.chooseMarks(10)).to.deep.equal([
      { endpointKey: key, age: 5_000, isSaid: true },
    ]);
    await clock.advance(60_000);
    expect(listIds()).to.deep.equal(["e2"]);
    expect(directory.chooseMarks(10)).to.deep.equal([]);
  });

  it("heals a false alarm that the instance list does not confirm", async () => {
    const { directory, listIds, clock } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")));
    await clock.advance(1_001);
    expect(listIds()).to.deep.equal(["e1", "e2"]);
  });

  it("believes the instance list at once", () => {
    const { directory, listIds } = create();
    directory.replaceAll([
      endpoint("e1", { state: "leaving" }),
      endpoint("e2"),
    ]);
    expect(listIds()).to.deep.equal(["e2"]);
  });

  it("takes another incarnation at the same address for a new endpoint", () => {
    const { directory, listIds } = create();
    directory.markLeaving(formatEndpointKey(endpoint("e1")));
    directory.replaceAll([endpoint("e1", { incarnation: "2" })]);
    expect(listIds()).to.deep.equal(["e1"]);
  });

  // Two entries tell each other of a mark for ever, and a false alarm never
  // heals. The mark's age travels with it, so it expires everywhere.
  it("does not keep a mark alive that peers tell back", async () => {
    const { directory, listIds, clock } = create();
    const key = formatEndpointKey(endpoint("e1"));
    directory.markLeaving(key);
    await clock.advance(900);
    const [mark] = directory.chooseMarks(10);
    directory.markLeaving(key, mark);
    await clock.advance(200);
    expect(listIds()).to.deep.equal(["e1", "e2"]);
    expect(directory.markLeaving(key, { age: 1_100 })).to.equal(false);
  });
});
