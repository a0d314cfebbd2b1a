import { expect } from "chai";
import fc from "fast-check";
import { createResultStorage } from "./result_storage.ts";

describe("result storage", () => {
  const createStored = (bytes: number, expiresAt = 4_000) => ({
    producer: "e1",
    bytes,
    createdAt: expiresAt - 4_000,
    expiresAt,
  });

  it("counts calls in progress, and their results until they are released", () => {
    const storage = createResultStorage();
    storage.addUsed("e1", 300);
    storage.add("r1", createStored(100));
    storage.add("r2", createStored(200));
    expect(storage.readUsed("e1")).to.equal(300);
    storage.remove("r1");
    storage.remove("r1");
    expect(storage.readUsed("e1")).to.equal(200);
    expect(storage.readUsed("e2")).to.equal(0);
  });

  // An entry that crashed releases nothing, and its results expire at their
  // endpoint. A dispatcher that still counted them would leave the endpoint
  // idle.
  it("removes only expired results", () => {
    const storage = createResultStorage();
    storage.addUsed("e1", 300);
    storage.add("r1", createStored(100, 4_000));
    storage.add("r2", createStored(200, 5_000));
    storage.removeExpired(4_000);
    expect(storage.readUsed("e1")).to.equal(200);
    expect(storage.readOldestAge("e1", 4_500)).to.equal(3_500);
  });

  it("is empty after all results are removed", () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 1_000 }));
    fc.assert(fc.property(sizes, (list) => {
      const storage = createResultStorage();
      list.forEach((bytes, index) => {
        storage.addUsed("e1", bytes);
        storage.add(`r${index}`, createStored(bytes));
      });
      storage.removeExpired(Infinity);
      expect(storage.readUsed("e1")).to.equal(0);
    }));
  });
});
