/**
 * A client as PROTOCOL.md describes it: it asks the directory where to connect,
 * keeps the answer for its time, and longer while it gets no new one, and sends
 * its requests on channels that it keeps open.
 */
import { createChannel, resolve } from "./harness.mjs";

const LOOKUP_TRIES = 3;

/**
 * Creates a client; `patience` is how many times the `ttlS` it keeps answers.
 * Without `keepsChannels` it opens a new channel for each request.
 */
export function createClient(
  { entries, patience = 1, ttlMaxS = 5, keepsChannels = true },
) {
  let addresses = [];
  let validUntil = 0;
  let lookup;
  /** Addresses that have failed this client since the last answer. */
  const failed = new Set();
  const channels = [];

  async function lookUp() {
    for (const entry of entries.slice(0, LOOKUP_TRIES)) {
      const answer = await resolve(entry);
      if (answer === undefined) continue;
      addresses = answer.addresses;
      failed.clear();
      const ttl = Math.min(answer.ttlS, ttlMaxS) * 1_000;
      validUntil = Date.now() + patience * ttl;
      return;
    }
  }

  /** Resolves once the addresses are new, or could not be renewed. */
  async function refresh() {
    if (Date.now() < validUntil) return;
    lookup ??= lookUp().finally(() => lookup = undefined);
    await lookup;
  }

  function findChannel() {
    const open = channels.find((channel) =>
      !channel.isBusy && !channel.isClosed &&
      addresses.includes(channel.address)
    );
    if (open !== undefined) return open;
    const usable = addresses.filter((address) => !failed.has(address));
    const from = usable.length > 0 ? usable : addresses;
    if (from.length === 0) return undefined;
    const address = from[Math.floor(Math.random() * from.length)];
    const channel = { address, isBusy: false, isClosed: false };
    channel.connection = createChannel(address);
    channels.push(channel);
    return channel;
  }

  /** Sends a request on a kept channel; undefined if no address is known. */
  async function send(request, onSent) {
    await refresh();
    const channel = findChannel();
    if (channel === undefined) return undefined;
    channel.isBusy = true;
    onSent?.(channel.address);
    const outcome = await channel.connection.send(request);
    channel.isBusy = false;
    if (outcome.end === "cut") failed.add(channel.address);
    if (outcome.end === "cut" || !keepsChannels) {
      channel.isClosed = true;
      channel.connection.close();
      channels.splice(channels.indexOf(channel), 1);
    }
    return { ...outcome, address: channel.address };
  }

  function close() {
    channels.forEach(({ connection }) => connection.close());
  }

  return { send, close };
}
