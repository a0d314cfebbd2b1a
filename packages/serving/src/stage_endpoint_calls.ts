/**
 * The endpoints of one stage pool as its feeder calls them: which take a call
 * now, and what is in progress at each.
 *
 * @module
 */
import type {
  BatchEndpoint,
  EndpointInfo,
  SendAllowance,
} from "@mangoreach/coordination";
import { formatEndpointKey } from "@mangoreach/coordination";
import type { Clock, Millis } from "@mangoreach/shared";
import type { EndpointLoads } from "./endpoint_load.ts";
import type { MakerRoom } from "./result_storage.ts";

/** An endpoint that is called. */
export interface CalledMaker extends BatchEndpoint {
  /** Tells incarnations apart; its room is counted under it. */
  readonly key: string;
  calls: number;
  freeAt: Millis;
  /** It was full or made nothing of a call; until then it gets nothing. */
  blockedUntil: Millis;
}

/** Options of {@linkcode createMakerCalls}. */
export interface MakerCallsOptions {
  clock: Clock;
  loads: EndpointLoads;
  room: MakerRoom;
  /** Endpoints that take new work now. */
  listEndpoints: () => readonly EndpointInfo[];
  allowance: Pick<SendAllowance, "mayBegin" | "begin" | "readWait">;
}

/** The calls in progress at the endpoints of one pool. */
export interface MakerCalls {
  /** Those that are in use and not blocked. */
  list(): CalledMaker[];
  /** How many are in use and take calls, if not just now. */
  count(): number;
  begin(maker: CalledMaker, expected: Millis): void;
  end(maker: CalledMaker): void;
  /** Leaves an endpoint alone that is full, or made nothing of a call. */
  block(maker: CalledMaker): void;
}

/** An endpoint that is full has room again after about half a call. */
const BLOCK_TIME: Millis = 150;
/** An endpoint that may be called this soon counts as one that takes calls. */
const SOON: Millis = 1_000;

/** Creates the calls of a feeder that has made none. */
export function createMakerCalls(
  { clock, loads, room, listEndpoints, allowance }: MakerCallsOptions,
): MakerCalls {
  const makers = new Map<string, CalledMaker>();

  function list(): CalledMaker[] {
    const endpoints = listEndpoints();
    const keys = new Set(endpoints.map(formatEndpointKey));
    for (const [key, { calls }] of makers) {
      if (calls === 0 && !keys.has(key)) makers.delete(key);
    }
    const now = clock.now();
    return loads.listInUse(endpoints).map(({ info, slowness }) => {
      const key = formatEndpointKey(info);
      const free = { calls: 0, freeAt: 0, roomTaken: 0, blockedUntil: 0 };
      const maker = makers.get(key) ?? { key, info, slowness, ...free };
      makers.set(key, maker);
      const roomTaken = room.readTaken(key);
      return Object.assign(maker, { info, slowness, roomTaken });
    }).filter(({ blockedUntil, info }) =>
      blockedUntil <= now && allowance.mayBegin(info)
    );
  }

  /** Those that take a call soon: what they do bounds what others wait. */
  function count(): number {
    return loads.listInUse(listEndpoints())
      .filter(({ info }) => allowance.readWait(info) <= SOON).length;
  }

  return {
    list,
    count,
    begin(maker, expected) {
      maker.calls++;
      maker.freeAt = clock.now() + maker.slowness * expected;
      loads.begin(maker.info);
      allowance.begin(maker.info);
    },
    end(maker) {
      maker.calls--;
    },
    block(maker) {
      maker.blockedUntil = clock.now() + BLOCK_TIME;
    },
  };
}
