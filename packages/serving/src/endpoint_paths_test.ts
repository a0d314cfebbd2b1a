import { Socket } from "node:net";
import type { EndpointInfo, PeerView } from "@mangoreach/coordination";
import type {
  Connect,
  ConnectFault,
  FakeClock,
  Millis,
} from "@mangoreach/shared";
import { createFakeClock, createSharedController } from "@mangoreach/shared";
import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import type { EndpointPaths } from "./endpoint_paths.ts";
import { createEndpointPaths } from "./endpoint_paths.ts";
import { createTestEndpoint, createTestPeer } from "./test_support.ts";

/** How a direct connection behaves. */
type PathState = "open" | "refused" | "silent";

const ROUND_TRIP: Millis = 2;
const TIMEOUT: Millis = 1_000;

/** Entries whose direct paths to all endpoints can be broken. */
class PathFleet {
  readonly clock: FakeClock = createFakeClock(0);
  readonly endpoints: readonly EndpointInfo[];
  readonly entries: readonly EndpointPaths[];
  readonly #cuts = new Map<number, PathState>();
  readonly #ended = new Map<string, PathState>();
  readonly stop = createSharedController();
  /** Entries that were told to stop. */
  readonly stopping = new Set<number>();
  /** Entries that all endpoints asked for a pause. */
  readonly paused = new Set<number>();
  /** Direct connections that were tried. */
  direct = 0;
  /** Tunnels that each entry opened for others. */
  readonly relayed: number[];

  constructor(entryCount: number, endpointCount: number) {
    const random = new Random(MersenneTwister19937.seed(entryCount));
    this.endpoints = Array.from(
      { length: endpointCount },
      (_, number) => createTestEndpoint(`10.0.0.${number}:1`),
    );
    this.relayed = Array.from({ length: entryCount }, () => 0);
    const records = Array.from(
      { length: entryCount },
      (_, number) => createTestPeer(String(number)),
    );
    this.entries = records.map((_, number) =>
      createEndpointPaths({
        clock: this.clock,
        random: () => random.realZeroToOneExclusive(),
        log: createSilentDecisionLog(),
        signal: this.stop.signal,
        connectDirectly: this.#createConnect(number),
        connectThrough: async (peer, target, { signal }) => {
          await this.clock.sleep(ROUND_TRIP);
          const controller = new AbortController();
          signal?.addEventListener("abort", () => controller.abort());
          const tunnel = await this.entries[Number(peer)]!
            .connectForPeer(target, controller.signal);
          if (tunnel.isOk) this.relayed[Number(peer)]!++;
          return tunnel;
        },
        listPeers: () =>
          records.filter((_, other) => other !== number).map((record) =>
            this.#createView(record)
          ),
        listAt: (address) =>
          this.endpoints.filter((endpoint) => endpoint.address === address),
        listEndpoints: () => this.endpoints,
        recordConnect: () => {},
        mayRelay: () => !this.stopping.has(number),
        isPaused: () => this.paused.has(number),
      })
    );
  }

  #createView(record: PeerView["record"]): PeerView {
    const isDetached = this.entries[Number(record.entry)]!.isDetached();
    return {
      record: { ...record, state: isDetached ? "detached" : "live" },
      age: 0,
      health: "alive",
    };
  }

  #createConnect(entry: number): Connect {
    return async (address, { timeout, signal }) => {
      this.direct++;
      const state = this.#ended.get(address) ?? this.#cuts.get(entry) ?? "open";
      await this.clock.sleep(
        state === "silent" ? timeout : ROUND_TRIP,
        signal,
      );
      if (state === "open" && !signal?.aborted) return Result.ok(new Socket());
      const failure = signal?.aborted || state === "open" ? "aborted" : state;
      return Result.err<Socket, ConnectFault>({ failure, message: failure });
    };
  }

  /** Breaks the direct paths of the first entries. */
  cut(count: number, state: PathState): void {
    for (let entry = 0; entry < count; entry++) this.#cuts.set(entry, state);
  }

  heal(): void {
    this.#cuts.clear();
  }

  endEndpoint(number: number, state: PathState): void {
    this.#ended.set(this.endpoints[number]!.address, state);
  }

  /** Connects at once, and returns the outcomes with the time of each. */
  async connectAll(
    ways: readonly { entry: number; endpoint: number }[],
  ): Promise<{ outcome: string; took: Millis }[]> {
    const startedAt = this.clock.now();
    const results = ways.map(async ({ entry, endpoint }) => {
      const { address } = this.endpoints[endpoint]!;
      const connection = await this.entries[entry]!
        .connect(address, { timeout: TIMEOUT });
      const took = this.clock.now() - startedAt;
      if (connection.isErr) return { outcome: connection.error.failure, took };
      connection.value.destroy();
      return { outcome: "connected", took };
    });
    return await this.waitFor(Promise.all(results));
  }

  /** Advances the clock until a promise is settled. */
  async waitFor<T>(promise: Promise<T>): Promise<T> {
    let isRunning = true;
    void promise.finally(() => isRunning = false);
    while (isRunning) await this.clock.advance(1);
    return await promise;
  }

  async connect(entry: number, endpoint: number) {
    return (await this.connectAll([{ entry, endpoint }]))[0]!;
  }
}

describe("the paths from an entry to endpoints", () => {
  // Each entry has one path of its own; callers of an entry whose path is
  // broken would be refused although other entries reach the endpoints.
  for (const entries of [8, 87, 195]) {
    for (const state of ["refused", "silent"] as const) {
      const cases = [1, Math.floor(entries / 2), entries - 1];
      it(`lead through peers: ${entries} entries, ${state}`, async () => {
        const found: Record<string, unknown> = {};
        for (const cut of cases) {
          const fleet = new PathFleet(entries, 12);
          fleet.cut(cut, state);
          const listWays = (round: number) =>
            Array.from({ length: cut }, (_, entry) => ({
              entry,
              endpoint: (entry + 5 * round) % 12,
            }));
          for (let round = 0; round < 3; round++) {
            await fleet.connectAll(listWays(round));
          }
          const results = await fleet.connectAll(listWays(3));
          const outcomes = new Set(results.map(({ outcome }) => outcome));
          const slowest = Math.max(...results.map(({ took }) => took));
          found[`${cut} cut`] = {
            outcomes: [...outcomes],
            isFast: slowest < 100,
          };
        }
        expect(found).to.deep.equal(
          Object.fromEntries(
            cases.map((cut) => [
              `${cut} cut`,
              { outcomes: ["connected"], isFast: true },
            ]),
          ),
        );
      }).timeout(60_000);
    }
  }

  it("are direct again soon after the cut", async () => {
    const fleet = new PathFleet(8, 12);
    fleet.cut(1, "silent");
    for (let number = 0; number < 4; number++) await fleet.connect(0, number);
    expect(fleet.entries[0]!.isDetached()).to.equal(true);
    fleet.heal();
    await fleet.clock.advance(1_000);
    expect(fleet.entries[0]!.isDetached()).to.equal(false);
    fleet.relayed.fill(0);
    await fleet.connect(0, 0);
    expect(Math.max(...fleet.relayed)).to.equal(0);
  });

  // A detached entry that stops or is attached again must not go on probing.
  it("are probed while the entry is detached, and once at a time", async () => {
    const fleet = new PathFleet(8, 12);
    const counts: number[] = [];
    const countProbes = async () => {
      fleet.direct = 0;
      await fleet.clock.advance(4_000);
      counts.push(fleet.direct);
    };
    for (let round = 0; round < 3; round++) {
      fleet.cut(1, "refused");
      for (let number = 0; number < 3; number++) await fleet.connect(0, number);
      if (round === 2) break;
      fleet.heal();
      await fleet.clock.advance(510);
    }
    await countProbes();
    fleet.stop.abort();
    await countProbes();
    // Each takes a round trip besides the interval of half a second.
    expect(counts).to.deep.equal([7, 0]);
  });

  // If a crash of endpoints were taken for a broken path, their callers would
  // wait for peers each time.
  it("tell endpoints that have ended from a broken path", async () => {
    const fleet = new PathFleet(8, 12);
    fleet.endEndpoint(0, "refused");
    fleet.endEndpoint(1, "refused");
    const ended = [await fleet.connect(0, 0), await fleet.connect(0, 1)];
    await fleet.clock.advance(20);
    expect(ended.map(({ outcome }) => outcome))
      .to.deep.equal(["refused", "refused"]);
    expect(Math.max(...ended.map(({ took }) => took))).to.be.below(50);
    expect(fleet.entries[0]!.isDetached()).to.equal(false);
    const listening = fleet.entries[0]!.checkListening("10.0.0.0:1");
    expect(await fleet.waitFor(listening)).to.equal("refused");
  });

  // A restarted endpoint must not count as ended at an entry that is cut off.
  it("find out through peers that an endpoint listens", async () => {
    const fleet = new PathFleet(8, 12);
    fleet.cut(1, "refused");
    const listening = fleet.entries[0]!.checkListening("10.0.0.3:1");
    expect(await fleet.waitFor(listening)).to.equal("listening");
  });

  // A sound endpoint may not respond for a moment; one peer is asked, and no
  // connection is opened twice.
  it("wait for an endpoint that is silent everywhere", async () => {
    const fleet = new PathFleet(8, 12);
    fleet.endEndpoint(2, "silent");
    expect(await fleet.connect(0, 2))
      .to.deep.equal({ outcome: "silent", took: TIMEOUT });
  });

  // A caller must not wait for the time-outs of several endpoints if neither this
  // entry nor a peer reaches any.
  it("fail soon if the entry is detached and no peer helps", async () => {
    const fleet = new PathFleet(8, 12);
    fleet.cut(8, "silent");
    for (let number = 0; number < 4; number++) {
      await fleet.connectAll(
        Array.from({ length: 8 }, (_, entry) => ({ entry, endpoint: number })),
      );
    }
    const { outcome, took } = await fleet.connect(0, 7);
    expect({ outcome, isSoon: took <= 400 })
      .to.deep.equal({ outcome: "silent", isSoon: true });
  });

  // A stream through an entry that was told to stop was cut off when it ended,
  // though another peer could have carried it.
  it("go through another peer than one that stops", async () => {
    const fleet = new PathFleet(3, 1);
    fleet.cut(1, "refused");
    fleet.stopping.add(1);
    for (let connection = 0; connection < 8; connection++) {
      expect((await fleet.connect(0, 0)).outcome).to.equal("connected");
    }
    expect(fleet.relayed).to.deep.equal([0, 0, 8]);
  });

  // The endpoint counts a relay's connections as the relay's own requests.
  it("go through another peer than one that was asked for a pause", async () => {
    const fleet = new PathFleet(3, 1);
    fleet.cut(1, "refused");
    fleet.paused.add(1);
    const since = fleet.clock.now();
    for (let connection = 0; connection < 8; connection++) {
      expect((await fleet.connect(0, 0)).outcome).to.equal("connected");
    }
    expect(fleet.relayed).to.deep.equal([0, 0, 8]);
    const { listRelays } = fleet.entries[0]!;
    expect(listRelays("10.0.0.0:1", since)).to.deep.equal(["2"]);
    await fleet.clock.advance(1);
    expect(listRelays("10.0.0.0:1", fleet.clock.now())).to.deep.equal([]);
  });

  // Guards against requests of peers that reach the endpoint within the pause,
  // because the relay began to connect before it was asked for one.
  it("are not opened for a peer by a relay that is asked for a pause meanwhile", async () => {
    const fleet = new PathFleet(2, 1);
    const { signal } = new AbortController();
    const address = fleet.endpoints[0]!.address;
    const tunnels = Array.from(
      { length: 3 },
      () => fleet.entries[1]!.connectForPeer({ id: address, address }, signal),
    );
    fleet.paused.add(1);
    await fleet.clock.advance(100);
    expect(
      (await Promise.all(tunnels)).map((tunnel) =>
        tunnel.isErr ? tunnel.error : "opened"
      ),
    ).to.deep.equal(["unavailable", "unavailable", "unavailable"]);
  });

  it("end at endpoints that the entry does not know", async () => {
    const fleet = new PathFleet(2, 1);
    const { signal } = new AbortController();
    const tunnels = await Promise.all([
      fleet.entries[0]!.connectForPeer(
        { id: "other", address: "10.0.0.0:1" },
        signal,
      ),
      fleet.entries[0]!.connectForPeer({
        id: "10.0.0.0:1",
        address: "10.9.9.9:1",
      }, signal),
    ]);
    expect(tunnels.map((tunnel) => tunnel.isErr && tunnel.error))
      .to.deep.equal(["unavailable", "unavailable"]);
  });
});
