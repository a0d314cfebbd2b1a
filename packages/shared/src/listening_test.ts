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

  // Guards against a malformed address of another entry that ends the process
  // by an unhandled rejection.
  for (const address of ["", "abc", "10.0.0.1:99999", "10.0.0.1:"]) {
    it(`knows nothing about the address ${JSON.stringify(address)}`, async () => {
      const options = { clock: createSystemClock(), timeout: 2_000 };
      expect(await checkListening(address, options)).to.equal("silent");
    });
  }

  it("accepts IPv6 addresses in brackets", async () => {
    const options = { clock: createSystemClock(), timeout: 2_000 };
    const server = createServer().listen(0, "::1");
    await new Promise((resolve) => server.once("listening", resolve));
    const address = `[::1]:${(server.address() as AddressInfo).port}`;
    expect(await checkListening(address, options)).to.equal("listening");
    server.close();
  });
});
