import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import { createStreamOrigins, formatStreamKey } from "./stream_origins.ts";

const ORIGIN = { pool: "pool", endpoint: "a", version: "v1" };
const LIFETIME = 1_000;

describe("stream origins", () => {
  it("remember a stream for its lifetime", async () => {
    const clock = createFakeClock(0);
    const origins = createStreamOrigins(clock);
    origins.record({ key: "s", origin: ORIGIN, lifetime: LIFETIME });
    await clock.advance(LIFETIME - 1);
    const before = origins.find("s");
    await clock.advance(1);
    expect([before, origins.find("s"), origins.find("other")])
      .to.deep.equal([ORIGIN, undefined, undefined]);
  });

  // A caller that uses an id twice would get the version of the other stream.
  it("do not know the version of two streams under one id", () => {
    const origins = createStreamOrigins(createFakeClock(0));
    const other = { ...ORIGIN, endpoint: "b", version: "v2" };
    for (const origin of [ORIGIN, ORIGIN, other, ORIGIN]) {
      origins.record({ key: "s", origin, lifetime: LIFETIME });
    }
    expect(origins.find("s")?.version).to.equal(undefined);
  });

  it("forget the first stream above 65,536", () => {
    const origins = createStreamOrigins(createFakeClock(0));
    for (let count = 0; count <= 65_536; count++) {
      origins.record({ key: `${count}`, origin: ORIGIN, lifetime: LIFETIME });
    }
    expect([origins.find("0"), origins.find("1"), origins.count()])
      .to.deep.equal([undefined, ORIGIN, 65_536]);
  });

  it("free the memory of expired streams", async () => {
    const clock = createFakeClock(0);
    const origins = createStreamOrigins(clock);
    for (let count = 0; count < 100; count++) {
      origins.record({ key: `${count}`, origin: ORIGIN, lifetime: LIFETIME });
    }
    await clock.advance(LIFETIME);
    origins.record({ key: "last", origin: ORIGIN, lifetime: LIFETIME });
    expect(origins.count()).to.equal(1);
  });

  // Ids of two client accounts may be the same.
  it("tell the streams of two client accounts apart", () => {
    expect(formatStreamKey({ account: "one", id: "s" }))
      .not.to.equal(formatStreamKey({ account: "two", id: "s" }));
  });
});
