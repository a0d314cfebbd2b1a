/** Streams: what a runner writes, and callers that take one up again. */
import { createId, openRequest, record, sleep } from "./site.mjs";

/**
 * Creates a runner's answers: events with increasing ids, each with the version
 * of the software that wrote it. Goes on after `Last-Event-Id`.
 */
export function createStreamServer({ events, gapMs, onRun = () => {} }) {
  return async (request, response, runner) => {
    for await (const _ of request);
    const id = request.headers["x-attempt-id"];
    const after = Number(request.headers["last-event-id"] ?? 0);
    onRun({ id, runner, after, resumes: request.headers.resumes });
    record(`runner ${runner.id} (${runner.version}) runs ${id} from event ${after + 1}`);
    runner.running++;
    response.setHeader("X-Response-Seal", `seal.${id}`);
    response.setHeader("Content-Type", "text/event-stream");
    for (let event = after + 1; event <= events && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: ${runner.version}\n\n`);
      await sleep(gapMs);
    }
    runner.running--;
    response.end();
  };
}

/** Makes one try; resolves when its channel has ended. */
export function tryStream(entry, { path, id, deadlineMs, lastEvent = 0, resumes, prompt, onEvent = () => {}, signal }) {
  return new Promise((resolve) => {
    const events = [];
    const outcome = { id, entry, sentAt: Date.now(), status: 0, events, isResumed: lastEvent > 0, retryAfterMs: undefined };
    const request = openRequest(entry.callers, {
      path, id, deadlineMs,
      headers: {
        "X-Model": "m", "X-Token-Count": "1460,80", "X-Prompt-Prefix": `5c1e07a2:800,${prompt}:250`,
        ...(lastEvent > 0 ? { "Last-Event-Id": String(lastEvent), "Resumes": resumes } : {}),
      },
    });
    const finish = (end) => resolve({ ...outcome, end, endedAt: Date.now() });
    request.setTimeout(deadlineMs, () => request.destroy());
    signal?.addEventListener("abort", () => request.destroy(), { once: true });
    request.once("response", (response) => {
      outcome.status = response.statusCode;
      const after = Number(response.headers["retry-after"]);
      if (after > 0) outcome.retryAfterMs = 1_000 * after;
      response.on("error", () => {});
      let text = "";
      response.on("data", (chunk) => {
        text += chunk;
        if (response.statusCode !== 200) return;
        for (;;) {
          const end = text.indexOf("\n\n");
          if (end < 0) return;
          const [, number, version] = /^id: (\d+)\ndata: (\S+)$/.exec(text.slice(0, end)) ?? [];
          text = text.slice(end + 2);
          events.push({ number: Number(number), version });
          onEvent(events.at(-1));
        }
      });
      response.once("close", () => {
        if (response.statusCode !== 200) outcome.reason = text;
        finish(response.complete ? "complete" : "cut");
      });
    });
    request.once("error", (error) => finish(`failed: ${error.code}`));
    record(`try ${id} is sent to ${entry.name}${lastEvent > 0 ? `, resumes ${resumes} after event ${lastEvent}` : ""}`);
    request.end("draft");
  });
}

export function describeTry({ id, entry, status, end, events, isResumed, reason, retryAfterMs }) {
  const numbers = events.length === 0 ? "no event" : `events ${events[0].number} to ${events.at(-1).number} of ${[...new Set(events.map(({ version }) => version))].join(" and ")}`;
  return `try ${id} at ${entry.name}${isResumed ? " (resumed)" : ""}: status ${status}, ${end}, ${numbers}` +
    (reason ? `, ${reason}` : "") + (retryAfterMs ? `, Retry-After ${retryAfterMs} ms` : "");
}

export { createId };
