import { expect } from "chai";
import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import type { FaultProxy } from "./fault_proxy.ts";
import { startFaultProxy } from "./fault_proxy.ts";

describe("fault proxy", () => {
  let server: Server;
  let proxy: FaultProxy;
  let client: Socket;
  let upstream: Socket;

  beforeEach(async () => {
    server = createServer((socket) => {
      upstream = socket;
      upstream.on("error", () => {});
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    proxy = await startFaultProxy(`127.0.0.1:${port}`);
    const [host, proxyPort] = proxy.address.split(":");
    client = connect({ host: host ?? "", port: Number(proxyPort) });
    client.on("error", () => {});
    await once(server, "connection");
  });

  afterEach(() => {
    client.destroy();
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

  // Guards against delayed bytes that arrive after later ones when a delay ends
  // in the middle of a response: the response would look complete with bytes
  // out of order, which TCP never does.
  it("preserves the order of bytes when a delay ends", async () => {
    proxy.setMode("delayed");
    upstream.write("first ");
    await new Promise((resolve) => setTimeout(resolve, 20));
    proxy.setMode("passing");
    upstream.write("second");
    expect(await readAll(client, 12)).to.equal("first second");
  });

  it("forwards nothing after dropped bytes", async () => {
    proxy.setMode("one_way");
    upstream.write("lost ");
    client.write("asked");
    expect(await readAll(upstream, 5)).to.equal("asked");
    proxy.setMode("passing");
    upstream.write("later");
    proxy.resetAll();
    await new Promise((resolve) => client.once("close", resolve));
    expect(client.bytesRead).to.equal(0);
  });
});
