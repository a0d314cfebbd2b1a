import type { EndpointInfo } from "@mangoreach/coordination";
import type { FakeClock, Logger } from "@mangoreach/shared";
import { createFakeClock, createSilentLogger } from "@mangoreach/shared";
import { expect } from "chai";
import { Result } from "true-myth";
import { createSilentDecisionLog } from "./decision_log.ts";
import type {
  TopicReadError,
  TopicReadResult,
  TopicRecord,
  TopicSource,
} from "./platform_interfaces.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import { createServingMetrics } from "./serving_metrics.ts";
import type { ServingPlatform } from "./serving_options.ts";
import { createSiteState } from "./site_state.ts";
import { createPosition, createTestEndpoint } from "./test_support.ts";

/** Creates a topic source that returns the given reads in order. */
function createSource(reads: readonly (readonly TopicRecord[])[]) {
  let next = 0;
  const read = () => {
    const records = reads[next++] ?? [];
    const result = { records, next: createPosition(next) };
    return Promise.resolve(Result.ok<TopicReadResult, never>(result));
  };
  return { readSnapshot: read, readFrom: read };
}

function decodeEndpoint(
  { key, value }: TopicRecord,
): Result<EndpointInfo, string> {
  return value?.startsWith("good")
    ? Result.ok({ ...createTestEndpoint(key), place: value.slice(5) })
    : Result.err("it is malformed");
}

describe("site state", () => {
  /** Follows the sources of endpoints and of the configuration. */
  function start({
    clock,
    source,
    configSource = createSource([]),
    logger = createSilentLogger(),
    metrics = createServingMetrics("entry"),
  }: {
    clock: FakeClock;
    source: TopicSource;
    configSource?: TopicSource;
    logger?: Logger;
    metrics?: ServingMetrics;
  }) {
    const platform = {
      configSource,
      configKey: "config",
      readEvacuatedPlace: (key: string) => /^away (.*)/.exec(key)?.[1],
      decodeConfig: () => Result.err("there is none"),
      endpointSource: source,
      decodeEndpoint,
      members: { source: createSource([]) },
    } as unknown as ServingPlatform;
    const siteState = createSiteState({
      clock,
      readWallTime: clock.now,
      random: () => 0.5,
      log: createSilentDecisionLog(),
      logger,
      metrics,
      platform,
      createRelayedSource: (_topic, relayed) => relayed,
      onConfig: () => {},
      onEndpoints: () => {},
      members: { replaceAll: () => {}, apply: () => {} },
      onError: () => {},
      onRestored: () => {},
    });
    const controller = new AbortController();
    void siteState.follow(controller.signal);
    return { siteState, stop: () => controller.abort() };
  }

  async function follow(
    reads: readonly (readonly TopicRecord[])[],
    published: readonly (readonly TopicRecord[])[] = [],
  ) {
    const clock = createFakeClock(0);
    const warnings: unknown[] = [];
    const metrics = createServingMetrics("entry");
    const logger: Logger = {
      ...createSilentLogger(),
      warn: (_message, fields) => warnings.push(fields?.endpoint),
    };
    const { siteState, stop } = start({
      clock,
      source: createSource(reads),
      configSource: createSource(published),
      logger,
      metrics,
    });
    await clock.advance(2_500);
    stop();
    const usable = siteState.directory.listUsable("pool").map(({ id }) => id);
    const { values } = await metrics.registry
      .getSingleMetric("mangoreach_records_undecodable_total")!.get();
    return { usable, warnings, undecodable: values[0]?.value };
  }

  // Other writers may write repeatedly to the topic of the endpoints. Their
  // records describe no endpoint, and a line for each read would flood the log.
  it("logs a record that cannot be decoded only once and counts it", async () => {
    const page = [{ key: "e1", value: "good" }, { key: "other", value: "?" }];
    const { usable, warnings, undecodable } = await follow([page, page, page]);
    expect(usable).to.deep.equal(["e1"]);
    expect(warnings).to.deep.equal(["other"]);
    expect(undecodable).to.equal(3);
  });

  // The newest record with an endpoint's id was written by another writer and
  // describes nothing usable. The endpoint's next heartbeat makes it usable
  // again.
  it("uses no endpoint whose newest record cannot be decoded", async () => {
    const good = [{ key: "e1", value: "good" }, { key: "e2", value: "good" }];
    const spoilt = [{ key: "e1", value: "?" }];
    expect((await follow([good, spoilt])).usable).to.deep.equal(["e2"]);
    const back = [{ key: "e1", value: "good" }];
    expect((await follow([good, spoilt, back])).usable)
      .to.have.members(["e1", "e2"]);
  });

  // An endpoint may restart under its id while its record can't be read, and
  // registers again some time after the store is back.
  it("has no current list of endpoints until after an outage", async () => {
    const clock = createFakeClock(0);
    let isAvailable = true;
    const read = () =>
      Promise.resolve(
        isAvailable
          ? Result.ok<TopicReadResult, TopicReadError>({
            records: [],
            next: createPosition(0),
          })
          : Result.err<TopicReadResult, TopicReadError>("unavailable"),
      );
    const source = { readSnapshot: read, readFrom: read };
    const { siteState, stop } = start({ clock, source });
    const found: boolean[] = [];
    const note = async (duration: number) => {
      await clock.advance(duration);
      found.push(siteState.isEndpointListCurrent());
    };
    await note(5_000);
    isAvailable = false;
    await note(5_000);
    isAvailable = true;
    await note(2_000);
    await note(6_000);
    stop();
    expect(found).to.deep.equal([true, false, false, true]);
  });

  // The operator evacuates a place: its endpoints continue to serve the
  // requests that they have, and still report that they are ready.
  it("uses no endpoint of an evacuated place until it is cleared", async () => {
    const endpoints = [
      { key: "e1", value: "good a" },
      { key: "e2", value: "good b" },
    ];
    const mark = [{ key: "away b", value: "{}" }];
    const back = [{ key: "away b", value: undefined }];
    const during = await follow([endpoints], [[], mark]);
    expect(during.usable).to.deep.equal(["e1"]);
    const after = await follow([endpoints], [mark, back]);
    expect(after.usable).to.deep.equal(["e1", "e2"]);
  });
});
