import { expect } from "chai";
import { createFakeClock } from "./fake_clock.ts";
import { keepRunning } from "./restarted_loop.ts";

/** Guards against a process that goes on without one of its loops. */
describe("a loop that is kept running", () => {
  it("starts again after errors, until it ends by itself", async () => {
    const clock = createFakeClock(0);
    const errors: string[] = [];
    let starts = 0;
    const { signal } = new AbortController();
    const ended = keepRunning(async () => {
      await Promise.resolve();
      if (++starts < 3) throw new Error(`pass ${starts}`);
    }, { clock, signal, onError: (error) => errors.push(String(error)) });
    await clock.advance(1_000);
    await clock.advance(1_000);
    await ended;
    expect({ starts, errors }).to.deep.equal({
      starts: 3,
      errors: ["Error: pass 1", "Error: pass 2"],
    });
  });

  it("does not start again once it is to end", async () => {
    const clock = createFakeClock(0);
    const controller = new AbortController();
    let starts = 0;
    const ended = keepRunning(() => {
      starts++;
      controller.abort();
      return Promise.reject(new Error("ended"));
    }, { clock, signal: controller.signal, onError: () => {} });
    await ended;
    expect(starts).to.equal(1);
  });
});
