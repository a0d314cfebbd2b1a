import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { LateOutcome, LateRequest } from "./late_callers.ts";
import { createLateCaller, openAheadCaller } from "./late_callers.ts";
import type { LateRequestsSite } from "./late_requests_site.ts";
import { startLateRequestsSite } from "./late_requests_site.ts";

const TEST_TIMEOUT_MS = 60_000;
const CALLERS = 150;
const WARM_UP_ROUNDS = 2;
/** All work before the signal takes this long. */
const USUAL_WORK_MS = 60;
/** Work after the signal. */
const WORK_MS = [60, 400, 1_500, 4_000, 9_000];
const LONG_DEADLINE_MS = 25_000;
const SHORT_DEADLINE_MS = 1_000;
/** Body delay of one in ten requests. */
const BODY_DELAY_MS = 300;
/** Longer than the largest time to stop, so that the entry stays until then. */
const LASTING_WORK_MS = 12_000;
/**
 * Only requests sent by then may be cut off, and only while their endpoints are
 * at work in the last part of the time to stop.
 */
const EXCUSED_MS = 3_000;
const LAST_SHARE = 1 / 6;
/** A request that its deadline ends this long before the cut is accepted. */
const SURE_MARGIN_MS = 300;
/** Share of the time to stop after which an entry cuts requests off. */
const CUT_SHARE = 0.9;
const MIN_SURE = 10;
const MIN_SURE_SHARE = 0.9;
const AHEAD_CALLERS = 10;

interface Scenario {
  stopS: number;
  /** Whether requests have shown how long they take. */
  hasHistory: boolean;
  /** Further signals while it stops. */
  isSignalledAgain?: boolean;
}

interface ObservedScenario {
  scenario: Scenario;
  stoppedAt: number;
  outcomes: readonly LateOutcome[];
  passedOn: ReadonlySet<string>;
}

function startSite(stopS: number): Promise<LateRequestsSite> {
  const folder = mkdtempSync(join(tmpdir(), "mangoreach-late-"));
  return startLateRequestsSite({ folder, stopS });
}

function createUsual(id: string, route: LateRequest["route"]): LateRequest {
  return { id, route, work: USUAL_WORK_MS, deadline: LONG_DEADLINE_MS };
}

async function runScenario(scenario: Scenario): Promise<ObservedScenario> {
  const { stopS, hasHistory, isSignalledAgain = false } = scenario;
  const site = await startSite(stopS);
  const callers = Array.from(
    { length: CALLERS },
    () => createLateCaller(site.callers[0]!),
  );
  for (let round = 0; hasHistory && round < WARM_UP_ROUNDS; round++) {
    const route = round === 0 ? "job" : "talk";
    await Promise.all(
      callers.map((caller, index) =>
        caller.send(createUsual(`w${round}-${index}`, route))
      ),
    );
  }
  const lasting = createLateCaller(site.callers[0]!);
  void lasting.send({
    ...createUsual("lasting", "talk"),
    work: LASTING_WORK_MS,
  });
  await sleep(100);
  const stoppedAt = Date.now();
  const stopped = site.stopFirst();
  if (isSignalledAgain) {
    void sleep(1_000).then(() => site.signalFirst("SIGHUP"));
    void sleep(2_000).then(() => site.signalFirst("SIGTERM"));
  }
  const pending: Promise<LateOutcome>[] = [];
  for (const [index, caller] of callers.entries()) {
    const isSure = index % 4 === 3;
    pending.push(caller.send({
      id: `late-${index}`,
      route: index % 3 === 0 ? "talk" : "job",
      work: isSure ? USUAL_WORK_MS : WORK_MS[index % WORK_MS.length]!,
      deadline: isSure ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS,
      bodyDelay: index % 10 === 9 ? BODY_DELAY_MS : 0,
    }));
    await sleep(1_000 * stopS / CALLERS);
  }
  const outcomes = await Promise.all(pending);
  await stopped;
  callers.forEach((caller) => caller.close());
  lasting.close();
  site.close();
  return { scenario, stoppedAt, outcomes, passedOn: site.passedOn };
}

/** Lists the requests that were passed on and not answered by their endpoint. */
function listLost(
  { scenario, stoppedAt, outcomes, passedOn }: ObservedScenario,
): string[] {
  const isExcused = ({ route, sentAt, endedAt }: LateOutcome) =>
    route === "talk" && sentAt - stoppedAt <= EXCUSED_MS &&
    endedAt - stoppedAt >= 1_000 * scenario.stopS * (1 - LAST_SHARE);
  return outcomes
    .filter(({ id, status, end }) =>
      passedOn.has(id) && (status !== 200 || end === "cut")
    )
    .filter((outcome) => !isExcused(outcome))
    .map(({ route, work, sentAt, endedAt, status, end }) =>
      `${scenario.stopS} s to stop: ${route} of ${work} ms, sent ${
        sentAt - stoppedAt
      } ms after the signal, ended after ${
        endedAt - stoppedAt
      } ms with ${status}, ${end}`
    );
}

/** Describes the requests that are sure to end in time, if many are refused. */
function listRefused(
  { scenario: { stopS, hasHistory }, stoppedAt, outcomes }: ObservedScenario,
): string[] {
  const latest = CUT_SHARE * 1_000 * stopS - SHORT_DEADLINE_MS - SURE_MARGIN_MS;
  const sure = outcomes.filter(({ deadline, sentAt }) =>
    deadline === SHORT_DEADLINE_MS && sentAt - stoppedAt <= latest
  );
  const served =
    sure.filter(({ status, end }) => status === 200 && end === "complete")
      .length;
  return hasHistory && sure.length >= MIN_SURE &&
      served < MIN_SURE_SHARE * sure.length
    ? [`${stopS} s to stop: ${served} of ${sure.length} sure ones were served`]
    : [];
}

describe("one of several entries that is told to stop, in calm", function () {
  this.timeout(TEST_TIMEOUT_MS);

  // Callers lost requests that the entry passed on late and then cut off.
  it("passes on no late request that it may cut off", async () => {
    const observed = await Promise.all([
      runScenario({ stopS: 8, hasHistory: true }),
      runScenario({ stopS: 4, hasHistory: true }),
      runScenario({ stopS: 2, hasHistory: true }),
      runScenario({ stopS: 8, hasHistory: true, isSignalledAgain: true }),
      runScenario({ stopS: 8, hasHistory: false }),
    ]);
    expect(observed.flatMap(listLost)).to.deep.equal([]);
    expect(observed.flatMap(listRefused)).to.deep.equal([]);
  });

  // Callers that send ahead lost what was passed on behind the answer that
  // closes the connection.
  it("answers all that it passes on of requests sent ahead", async () => {
    const site = await startSite(8);
    const callers = Array.from(
      { length: AHEAD_CALLERS },
      () => openAheadCaller(site.callers[0]!),
    );
    callers.forEach((caller, index) =>
      caller.send([createUsual(`w-${index}`, "job")])
    );
    await sleep(500);
    const stopped = site.stopFirst();
    await sleep(300);
    const sent = callers.map((caller, index) => {
      const requests = ["a", "b", "c"].map((name): LateRequest => ({
        id: `${name}-${index}`,
        route: "job",
        work: 200,
        deadline: SHORT_DEADLINE_MS,
      }));
      caller.send(requests);
      return requests;
    });
    await stopped;
    const unanswered = callers.map((caller, index) => {
      const ids = sent[index]!.map(({ id }) => id);
      const passedOn = ids.filter((id) => site.passedOn.has(id)).length;
      return passedOn + 1 - caller.countAnswers();
    });
    callers.forEach((caller) => caller.close());
    site.close();
    expect(unanswered).to.deep.equal(callers.map(() => 0));
    expect(site.passedOn.size).to.be.greaterThan(AHEAD_CALLERS);
  });
});
