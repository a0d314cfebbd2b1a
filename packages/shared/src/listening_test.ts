import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { createSystemClock } from "./clock.ts";
import { checkListening } from "./listening.ts";

describe("check for a listening process", () => {
  it("distinguishes a listening process from one that has ended", async () => {
    const options = { clock: createSystemClock(), timeout: 2_000 };
    const server = createServer().listen(0, "127.0.0.1");
    await new Promise((resolve) => server.once("listening", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await checkListening(address, options)).to.equal("listening");
    await new Promise((resolve) => server.close(resolve));
    expect(await checkListening(address, options)).to.equal("refused");
  });
});
