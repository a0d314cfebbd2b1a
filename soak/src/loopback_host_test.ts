import { connect, createServer } from "node:net";
import { once } from "node:events";
import { expect } from "chai";
import { findFreePorts } from "./free_ports.ts";
import { computeLoopbackHost, LOOPBACK_HOST } from "./loopback_host.ts";

/** Guards against soak runs at the same time that take each other's ports. */
describe("the addresses of soak runs at the same time", () => {
  it("differ by process", () => {
    expect([1, 255, 256, 70_000, 4_194_303].map(computeLoopbackHost))
      .to.deep.equal([
        "127.1.0.1",
        "127.1.0.255",
        "127.1.1.0",
        "127.2.17.112",
        "127.64.255.255",
      ]);
  });

  it("are used by all ports that a run finds", async () => {
    const [address = ""] = await findFreePorts(1);
    const [host, port] = address.split(":");
    expect(host).to.equal(LOOPBACK_HOST);
    const server = createServer((socket) => socket.end());
    server.listen(Number(port), host);
    await once(server, "listening");
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    socket.destroy();
    server.close();
  });
});
