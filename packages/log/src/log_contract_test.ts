import process from "node:process";
import { createFakeClock, createSystemClock } from "@mangoreach/shared";
import type { Standin } from "@mangoreach/standins";
import {
  BAD_REPLIES,
  startLogService,
  startScriptedServer,
} from "@mangoreach/standins";
import { expect } from "chai";
import { Result } from "true-myth";
import type { LogClient } from "./log_client.ts";
import { createLogClient } from "./log_client.ts";
import type { TailEvent } from "./log_tail.ts";
import { startLogTail } from "./log_tail.ts";

/** Set to run the contract against another implementation. */
const EXTERNAL = process.env.MANGOREACH_LOG_URL;
const NEVER = new AbortController().signal;

describe("log service contract", () => {
  const clock = createSystemClock();
  let standin: Standin;
  let log: LogClient;

  beforeEach(async () => {
    standin = await startLogService({ clock });
    log = createLogClient({
      clock,
      address: EXTERNAL ?? standin.address,
      appendTimeoutMs: 300,
    });
  });

  afterEach(async () => {
    await log.close();
    await standin.stop();
  });

  async function readAll(from = 0) {
    const page = await log.read("config", { from, waitMs: 0, signal: NEVER });
    if (page.isErr) throw new Error(page.error.message);
    return page.value;
  }

  it("returns appended records in order, each at its offset", async () => {
    const first = await log.append("config", { n: 1 });
    const second = await log.append("config", { n: 2 });
    expect(
      first.isOk && second.isOk &&
        second.value.offset > first.value.offset,
    ).to.equal(true);
    const { records } = await readAll(first.isOk ? first.value.offset : 0);
    expect(records.map(({ value }) => value)).to.deep.equal([
      { n: 1 },
      { n: 2 },
    ]);
  });

  it("lets a read wait for the next record", async () => {
    const { next } = await readAll();
    const waiting = log.read("config", {
      from: next,
      waitMs: 2_000,
      signal: NEVER,
    });
    await log.append("config", "news");
    const page = await waiting;
    expect(page.isOk && page.value.records.length).to.equal(1);
  });

  // Guards against a publish that is reported as failed although it is in
  // force: the log appends the record, and the connection breaks before the
  // answer.
  it("reports may_have_run when the answer to an append is lost", async () => {
    standin.faults.loseAnswers = 1;
    const ack = await log.append("config", "once");
    expect(ack.isErr && ack.error.verdict).to.equal("may_have_run");
    expect((await readAll()).records.length).to.equal(1);
  });

  const NOT_APPENDED = [
    { name: "is unavailable", prepare: () => standin.faults.away = true },
    { name: "is stopped", prepare: () => standin.stop() },
  ] as const;

  for (const { name, prepare } of NOT_APPENDED) {
    it(`reports not_run for an append while the log ${name}`, async () => {
      await prepare();
      const ack = await log.append("config", "never");
      expect(ack.isErr && ack.error.verdict).to.equal("not_run");
      if (name === "is stopped") standin = await startLogService({ clock });
    });
  }

  it("reports may_have_run for an append that the log never answers", async () => {
    standin.faults.hangs = true;
    const ack = await log.append("config", "perhaps");
    expect(ack.isErr && ack.error.verdict).to.equal("may_have_run");
  });

  it("rejects appends above its rate with not_run", async () => {
    const slow = await startLogService({ clock, maxAppendsPerSecond: 1 });
    const client = createLogClient({
      clock,
      address: slow.address,
      appendTimeoutMs: 300,
    });
    await client.append("config", 1);
    const second = await client.append("config", 2);
    expect(second.isErr && second.error.verdict).to.equal("not_run");
    await client.close();
    await slow.stop();
  });

  for (const { name, reply } of BAD_REPLIES) {
    it(`turns ${name} into a typed error, for appends and reads`, async () => {
      const server = await startScriptedServer(reply);
      const client = createLogClient({
        clock,
        address: server.address,
        appendTimeoutMs: 300,
      });
      const ack = await client.append("config", "x");
      const page = await client.read("config", {
        from: 0,
        waitMs: 0,
        signal: NEVER,
      });
      expect(ack.isErr && ack.error.verdict).to.equal("may_have_run");
      expect(page.isErr).to.equal(true);
      await client.close();
      await server.stop();
    });
  }

  it("rejects a page whose records are out of order", async () => {
    const records = [2, 1].map((offset) => ({ offset, time: 0, value: 0 }));
    const server = await startScriptedServer({
      kind: "bytes",
      bytes: `HTTP/1.1 200 X\r\nconnection: close\r\n\r\n${
        JSON.stringify({ first: 0, next: 3, records })
      }`,
    });
    const client = createLogClient({
      clock,
      address: server.address,
      appendTimeoutMs: 300,
    });
    const read = client.read("config", {
      from: 0,
      waitMs: 0,
      signal: AbortSignal.timeout(200),
    });
    expect((await read).isErr).to.equal(true);
    await client.close();
    await server.stop();
  });
});

describe("log tail", () => {
  type Page = Awaited<ReturnType<LogClient["read"]>>;

  async function collect(pages: (() => Promise<Page>)[]) {
    const clock = createFakeClock();
    const ended = new AbortController();
    const events: TailEvent[] = [];
    const offsets: number[] = [];
    const log: Pick<LogClient, "read"> = {
      read(_stream, { from }) {
        offsets.push(from);
        const next = pages.shift();
        if (next !== undefined) return next();
        ended.abort();
        return ok({ first: 0, next: from, records: [] });
      },
    };
    const tail = startLogTail({
      clock,
      log: log as LogClient,
      stream: "config",
      from: 0,
      signal: ended.signal,
      random: () => 0.5,
    });
    const observed = tail.events.observe((event) => void events.push(event));
    await clock.advance(20_000);
    await Promise.all([tail.task, observed]);
    return { events, offsets };
  }

  function ok(page: {
    first: number;
    next: number;
    records: { offset: number; time: number; value: unknown }[];
  }): Promise<Page> {
    return Promise.resolve(Result.ok(page));
  }

  function failRead(): Promise<Page> {
    return Promise.resolve(Result.err({
      kind: "unavailable",
      verdict: "not_run",
      message: "away",
    }));
  }

  const record = (offset: number) => ({ offset, time: 0, value: offset });

  it("emits each record once across an outage", async () => {
    const { events } = await collect([
      () => ok({ first: 0, next: 2, records: [record(0), record(1)] }),
      failRead,
      failRead,
      () => ok({ first: 0, next: 3, records: [record(1), record(2)] }),
    ]);
    const records = events.flatMap((event) =>
      event.kind === "record" ? [event.record.offset] : []
    );
    expect(records).to.deep.equal([0, 1, 2]);
    expect(events.filter(({ kind }) => kind === "away").length).to.equal(2);
  });

  // Guards against unnoticed gaps. A reader does not read for longer than the
  // log keeps records. Offsets that expired unread look like offsets that
  // never existed, so without an event the next record would seem to follow
  // its last.
  it("reports that records expired before they were read", async () => {
    const { events, offsets } = await collect([
      () => ok({ first: 0, next: 1, records: [record(0)] }),
      () => ok({ first: 7, next: 8, records: [record(7)] }),
    ]);
    expect(events.filter(({ kind }) => kind === "trimmed")).to.deep.equal([
      { kind: "trimmed", first: 7 },
    ]);
    expect(offsets.at(-1)).to.equal(8);
  });
});
