/**
 * Entry addresses of a caller: fetches the list from an entry, caches it for
 * the time that the response allows, and falls back to the addresses of the
 * settings.
 *
 * @module
 */
import type { Clock, HttpClient, Millis } from "@mangoreach/shared";
import { readReplyJson, startTimeout } from "@mangoreach/shared";
import type { AddressAnswer, EntryAddress } from "./caller_protocol.ts";
import {
  addressAnswerSchema,
  CALLER_HEADERS,
  CALLER_PATHS,
} from "./caller_protocol.ts";

/** Options of {@linkcode createAddressBook}. */
export interface AddressBookOptions {
  clock: Clock;
  http: HttpClient;
  /** `ip:port` of some entries; any of them may no longer exist. */
  knownAddresses: readonly string[];
  place: string;
  authorization: string;
  timeoutMs: Millis;
}

/** The entry addresses of a caller. */
export interface AddressBook {
  /**
   * Entries in order of preference; empty if none is cached and none responds.
   */
  list(): Promise<EntryAddress[]>;
  /**
   * Moves a failed entry behind the others and refreshes the list on next use.
   */
  demote(address: string): void;
}

interface CachedAnswer {
  answer: AddressAnswer;
  refreshAt: Millis;
  staleAt: Millis;
}

const OK = 200;

/** Creates an empty address book; the list is fetched on first use. */
export function createAddressBook(
  { clock, http, knownAddresses, place, authorization, timeoutMs }:
    AddressBookOptions,
): AddressBook {
  let cached: CachedAnswer | undefined;
  let refreshing: Promise<void> | undefined;
  const demoted = new Set<string>();

  async function list(): Promise<EntryAddress[]> {
    const now = clock.now();
    if (cached === undefined || now >= cached.staleAt) await refresh();
    // Refreshing early, in the background, keeps requests from waiting for it.
    else if (now >= cached.refreshAt) void refresh();
    const addresses = cached?.answer.addresses ?? [];
    const isDemoted = ({ address }: EntryAddress) => demoted.has(address);
    return [
      ...addresses.filter((entry) => !isDemoted(entry)),
      ...addresses.filter(isDemoted),
    ];
  }

  function refresh(): Promise<void> {
    refreshing ??= fetchFromAny().finally(() => refreshing = undefined);
    return refreshing;
  }

  async function fetchFromAny(): Promise<void> {
    const cachedAddresses = cached?.answer.addresses.map((entry) =>
      entry.address
    );
    const order = new Set([...(cachedAddresses ?? []), ...knownAddresses]);
    const sorted = [...order].sort((a, b) =>
      Number(demoted.has(a)) - Number(demoted.has(b))
    );
    for (const address of sorted) {
      const answer = await fetchFrom(address);
      if (answer === undefined) continue;
      storeAnswer(answer);
      return;
    }
  }

  function storeAnswer(answer: AddressAnswer): void {
    const now = clock.now();
    cached = {
      answer,
      refreshAt: now + answer.ask_again_ms,
      staleAt: now + answer.keep_ms,
    };
    demoted.clear();
  }

  async function fetchFrom(
    address: string,
  ): Promise<AddressAnswer | undefined> {
    const timeout = startTimeout(clock, timeoutMs);
    const reply = await http.call({
      method: "GET",
      address,
      path: CALLER_PATHS.addresses,
      headers: { authorization, [CALLER_HEADERS.place]: place },
      signal: timeout.signal,
    });
    timeout.stop();
    if (reply.isErr || reply.value.status !== OK) return undefined;
    const answer = addressAnswerSchema.safeParse(readReplyJson(reply.value));
    if (!answer.success || answer.data.addresses.length === 0) return undefined;
    return answer.data;
  }

  function demote(address: string): void {
    demoted.add(address);
    if (cached !== undefined) cached.refreshAt = clock.now();
  }

  return { list, demote };
}
