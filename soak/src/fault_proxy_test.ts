import { expect } from "chai";
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import type { FaultProxy } from "./fault_proxy.ts";
import { startFaultProxy } from "./fault_proxy.ts";

describe("proxy of the soak", () => {
  let server: Server;
  let proxy: FaultProxy;
  let near: Socket;
  let far: Socket;

  beforeEach(async () => {
    server = createServer((socket) => {
      far = socket;
      far.on("error", () => {});
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    proxy = await startFaultProxy(`127.0.0.1:${port}`);
    const [host, nearPort] = proxy.address.split(":");
    near = connect({ host: host ?? "", port: Number(nearPort) });
    near.on("error", () => {});
    await once(server, "connection");
  });

  afterEach(() => {
    near.destroy();
    proxy.close();
    server.close();
  });

  const readAll = async (socket: Socket, length: number) => {
    let text = "";
    while (text.length < length) {
      text += String((await once(socket, "data"))[0]);
    }
    return text;
  };

  // Bytes that were held up arrived behind later ones when a delay ended in the
  // middle of an answer; it looked whole with a gap, which no network does.
  it("keeps the order when a delay ends", async () => {
    proxy.setMode("delayed");
    far.write("first ");
    await new Promise((resolve) => setTimeout(resolve, 20));
    proxy.setMode("passing");
    far.write("second");
    expect(await readAll(near, 12)).to.equal("first second");
  });

  it("never goes on behind what was lost", async () => {
    proxy.setMode("one_way");
    far.write("lost ");
    near.write("asked");
    expect(await readAll(far, 5)).to.equal("asked");
    proxy.setMode("passing");
    far.write("later");
    proxy.dropAll();
    await new Promise((resolve) => near.once("close", resolve));
    expect(near.bytesRead).to.equal(0);
  });
});
