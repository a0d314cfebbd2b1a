import { expect } from "chai";
import fc from "fast-check";
import { createMakerRoom } from "./result_storage.ts";

describe("room at makers", () => {
  const held = (bytes: number, lapsesAt = 4_000) => ({
    maker: "e1",
    bytes,
    madeAt: lapsesAt - 4_000,
    lapsesAt,
  });

  it("counts calls in progress and what they made until it is freed", () => {
    const room = createMakerRoom();
    room.addTaken("e1", 300);
    room.hold("r1", held(100));
    room.hold("r2", held(200));
    expect(room.readTaken("e1")).to.equal(300);
    room.drop("r1");
    room.drop("r1");
    expect(room.readTaken("e1")).to.equal(200);
    expect(room.readTaken("e2")).to.equal(0);
  });

  // An entry was killed and frees nothing. Its results lapse at their maker; a
  // feeder that went on counting them would leave the maker idle.
  it("drops what has lapsed, and nothing else", () => {
    const room = createMakerRoom();
    room.addTaken("e1", 300);
    room.hold("r1", held(100, 4_000));
    room.hold("r2", held(200, 5_000));
    room.dropLapsed(4_000);
    expect(room.readTaken("e1")).to.equal(200);
    expect(room.readOldest("e1", 4_500)).to.equal(3_500);
  });

  it("is empty again once all that was taken is dropped", () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 1_000 }));
    fc.assert(fc.property(sizes, (list) => {
      const room = createMakerRoom();
      list.forEach((bytes, index) => {
        room.addTaken("e1", bytes);
        room.hold(`r${index}`, held(bytes));
      });
      room.dropLapsed(Infinity);
      expect(room.readTaken("e1")).to.equal(0);
    }));
  });
});
