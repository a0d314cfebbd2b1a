/**
 * Batches requests for several topics to one entry into one message.
 *
 * An idle entry does little but poll each topic, and there may be hundreds of
 * entries. Requests that wait in one message are answered together, so the next
 * ones are sent together again, and three topics cost as much as one.
 *
 * @module
 */
import type { TopicName, TopicReply, TopicRequest } from "@mangoreach/peers";
import type { Clock, Millis } from "@mangoreach/shared";
import type { TopicRelay } from "./topic_relay.ts";

/** Options of {@linkcode createTopicRequestBatcher}. */
export interface TopicRequestBatcherOptions {
  clock: Clock;
  /**
   * Resolves to the replies in the order of the queries, or to undefined if the
   * entry does not answer.
   */
  send: (
    address: string,
    queries: readonly TopicRequest[],
  ) => Promise<readonly TopicReply[] | undefined>;
}

/** Sends topic requests to other entries. */
export interface TopicRequestBatcher {
  /** Resolves to undefined if the entry does not answer. */
  request(
    address: string,
    query: TopicRequest,
  ): Promise<TopicReply | undefined>;
}

/** Followers that got their replies together ask again within this time. */
const BATCH_WINDOW: Millis = 30;

interface PendingRequest {
  query: TopicRequest;
  resolve: (reply: TopicReply | undefined) => void;
}

/** Creates the request batcher of one entry. */
export function createTopicRequestBatcher(
  { clock, send }: TopicRequestBatcherOptions,
): TopicRequestBatcher {
  const batches = new Map<string, PendingRequest[]>();

  async function sendBatch(address: string): Promise<void> {
    const pending = batches.get(address) ?? [];
    batches.delete(address);
    const replies = await send(address, pending.map(({ query }) => query));
    pending.forEach(({ resolve }, index) => resolve(replies?.[index]));
  }

  function enqueueRequest(
    address: string,
    query: TopicRequest,
  ): Promise<TopicReply | undefined> {
    return new Promise((resolve) => {
      const pending = batches.get(address);
      if (pending !== undefined) {
        pending.push({ query, resolve });
        return;
      }
      batches.set(address, [{ query, resolve }]);
      clock.startTimer(BATCH_WINDOW, () => void sendBatch(address));
    });
  }

  async function request(
    address: string,
    query: TopicRequest,
  ): Promise<TopicReply | undefined> {
    // A request without a wait is a retry that has lost time already.
    if (query.wait > 0) return await enqueueRequest(address, query);
    return (await send(address, [query]))?.[0];
  }

  return { request };
}

/** Answers all queries as soon as the first of them is answered. */
export async function handleTopicRequests(
  relays: Readonly<Record<TopicName, Pick<TopicRelay, "answer">>>,
  queries: readonly TopicRequest[],
): Promise<TopicReply[]> {
  const controller = new AbortController();
  const answers = queries.map((query) =>
    relays[query.topic].answer(query, controller.signal)
  );
  await Promise.race(answers);
  controller.abort();
  return await Promise.all(answers);
}
