/**
 * Which entries a caller uses: asks for addresses, keeps the answer for as long
 * as it was told, and falls back to addresses known from settings.
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
  /** `ip:port` of some entries; any of them may be gone. */
  knownAddresses: readonly string[];
  place: string;
  authorization: string;
  timeoutMs: Millis;
}

/** A caller's addresses. */
export interface AddressBook {
  /** Entries in order of preference; empty when none answers. */
  list(): Promise<EntryAddress[]>;
  /** Puts an entry that failed behind the others and asks again soon. */
  demote(address: string): void;
}

interface KeptAnswer {
  answer: AddressAnswer;
  askAgainAt: Millis;
  dropAt: Millis;
}

const OK = 200;

/** Creates an empty address book; it asks on first use. */
export function createAddressBook(
  { clock, http, knownAddresses, place, authorization, timeoutMs }:
    AddressBookOptions,
): AddressBook {
  let kept: KeptAnswer | undefined;
  let asking: Promise<void> | undefined;
  const demoted = new Set<string>();

  async function list(): Promise<EntryAddress[]> {
    const now = clock.now();
    if (kept === undefined || now >= kept.dropAt) await refresh();
    // Asking early, in the background, keeps requests from waiting for it.
    else if (now >= kept.askAgainAt) void refresh();
    const addresses = kept?.answer.addresses ?? [];
    const isDemoted = ({ address }: EntryAddress) => demoted.has(address);
    return [
      ...addresses.filter((entry) => !isDemoted(entry)),
      ...addresses.filter(isDemoted),
    ];
  }

  function refresh(): Promise<void> {
    asking ??= askAll().finally(() => asking = undefined);
    return asking;
  }

  async function askAll(): Promise<void> {
    const fromAnswer = kept?.answer.addresses.map((entry) => entry.address);
    const order = new Set([...(fromAnswer ?? []), ...knownAddresses]);
    const sorted = [...order].sort((a, b) =>
      Number(demoted.has(a)) - Number(demoted.has(b))
    );
    for (const address of sorted) {
      const answer = await ask(address);
      if (answer === undefined) continue;
      keep(answer);
      return;
    }
  }

  function keep(answer: AddressAnswer): void {
    const now = clock.now();
    kept = {
      answer,
      askAgainAt: now + answer.ask_again_ms,
      dropAt: now + answer.keep_ms,
    };
    demoted.clear();
  }

  async function ask(address: string): Promise<AddressAnswer | undefined> {
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
    if (kept !== undefined) kept.askAgainAt = clock.now();
  }

  return { list, demote };
}
