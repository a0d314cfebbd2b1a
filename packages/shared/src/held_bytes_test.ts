import { expect } from "chai";
import { createHeldBytes } from "./held_bytes.ts";

describe("bytes of answers that are held", () => {
  function create(max: number) {
    const held = createHeldBytes(max);
    const ended: string[] = [];
    const open = (name: string) => held.open(() => ended.push(name));
    return { held, ended, open };
  }

  // Guards against small answers that are given up for an endless one.
  it("are given back by the largest part", () => {
    const { held, ended, open } = create(100);
    const endless = open("endless");
    const small = open("small");
    endless.add(60);
    small.add(10);
    endless.add(30);
    expect([held.size, ended]).to.deep.equal([100, []]);
    small.add(1);
    expect([held.size, ended]).to.deep.equal([11, ["endless"]]);
    endless.add(50);
    endless.release();
    expect(held.size).to.equal(11);
    small.release();
    small.release();
    expect(held.size).to.equal(0);
  });

  it("are not given back while they are sent to a caller", () => {
    const { held, ended, open } = create(100);
    const sent = open("sent");
    sent.add(90);
    sent.keep();
    const small = open("small");
    small.add(20);
    expect([held.size, ended]).to.deep.equal([90, ["small"]]);
  });
});
