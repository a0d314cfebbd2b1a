import { CALLER_HEADERS } from "@mangoreach/callers";
import type { HttpClient, HttpReply } from "@mangoreach/shared";
import { createHttpClient, parseJson } from "@mangoreach/shared";
import { expect } from "chai";
import { createDraftCall } from "./draft_call.ts";
import type { LocalSite } from "./local_site.ts";
import { startLocalSite } from "./local_site.ts";

describe("malformed and unauthorized input", () => {
  let site: LocalSite;
  let http: HttpClient;

  before(async () => {
    site = await startLocalSite({
      settings: { limits: { maxBodyBytes: 2_048 } as never },
    });
    http = createHttpClient();
  });
  after(async () => {
    await http.close();
    await site.stop();
  });

  interface InputCase {
    name: string;
    change: {
      path?: string;
      method?: "GET" | "POST" | "PUT";
      headers?: Record<string, string>;
      body?: string;
    };
    status: number;
    message: string;
  }

  const CASES: InputCase[] = [
    {
      name: "a body that is not JSON",
      change: { body: "{" },
      status: 400,
      message: "the body is malformed",
    },
    {
      name: "a text that is not a string",
      change: { body: '{"text":1}' },
      status: 400,
      message: "text",
    },
    {
      name: "an unknown field",
      change: { body: '{"text":"x","y":1}' },
      status: 400,
      message: '"y"',
    },
    {
      name: "no body",
      change: { body: "" },
      status: 400,
      message: "malformed",
    },
    {
      name: "a body that is too large",
      change: { body: "x".repeat(4_000) },
      status: 413,
      message: "larger than 2048",
    },
    {
      name: "an unknown pipeline",
      change: { path: "/v1/pipelines/what" },
      status: 404,
      message: '"what"',
    },
    {
      name: "an unknown service",
      change: { path: "/v1/services/what/x" },
      status: 404,
      message: '"what"',
    },
    {
      name: "an unknown path",
      change: { path: "/what" },
      status: 404,
      message: "nothing at this path",
    },
    {
      name: "a malformed path",
      change: { path: "/%zz" },
      status: 400,
      message: "path is malformed",
    },
    {
      name: "a wrong method",
      change: { method: "PUT" },
      status: 400,
      message: "must be POST",
    },
    {
      name: "an unknown class",
      change: { headers: { [CALLER_HEADERS.className]: "x" } },
      status: 404,
      message: '"x"',
    },
    {
      name: "no class",
      change: { headers: { [CALLER_HEADERS.className]: "" } },
      status: 404,
      message: "class",
    },
    {
      name: "an invalid deadline",
      change: { headers: { [CALLER_HEADERS.deadlineMs]: "-1" } },
      status: 400,
      message: CALLER_HEADERS.deadlineMs,
    },
    {
      name: "an invalid flag",
      change: { headers: { [CALLER_HEADERS.idempotent]: "yes" } },
      status: 400,
      message: CALLER_HEADERS.idempotent,
    },
    {
      name: "an invalid request id",
      change: { headers: { [CALLER_HEADERS.requestId]: "a b" } },
      status: 400,
      message: CALLER_HEADERS.requestId,
    },
    {
      name: "an invalid attempt number",
      change: { headers: { [CALLER_HEADERS.attempt]: "0" } },
      status: 400,
      message: CALLER_HEADERS.attempt,
    },
    {
      name: "no account",
      change: { headers: { authorization: "" } },
      status: 401,
      message: "unknown",
    },
    {
      name: "a wrong key",
      change: { headers: { authorization: "Bearer handlers:x" } },
      status: 401,
      message: "unknown",
    },
    {
      name: "an unknown account",
      change: { headers: { authorization: "Bearer who:x" } },
      status: 401,
      message: "unknown",
    },
    {
      name: "a path for peers",
      change: { path: "/peers/exchange" },
      status: 404,
      message: "nothing",
    },
    {
      name: "a path for operators",
      change: { path: "/operators/drain" },
      status: 404,
      message: "nothing",
    },
  ];

  for (const { name, change, status, message } of CASES) {
    it(`is refused with ${status} and not_run: ${name}`, async () => {
      const call = createDraftCall(site, change.path ?? "/v1/pipelines/draft");
      const reply = await http.call({
        ...call,
        ...change,
        headers: { ...call.headers, ...change.headers },
      });
      expect(readRefusal(reply.isOk ? reply.value : undefined))
        .to.deep.equal({ status, verdict: "not_run" });
      expect(readMessage(reply.isOk ? reply.value : undefined))
        .to.contain(message);
    });
  }

  it("is refused for a class that the account may not use", async () => {
    const reply = await http.call(
      createDraftCall(site, "/v1/pipelines/draft", site.entries[0], "portal"),
    );
    expect(readRefusal(reply.isOk ? reply.value : undefined))
      .to.deep.equal({ status: 401, verdict: "not_run" });
  });

  it("is refused with 404 for an invalid stream token", async () => {
    for (const token of ["x", "x.y", ""]) {
      const reply = await http.call({
        ...createDraftCall(site, `/v1/streams/${token}?next=0`),
        method: "GET",
      });
      expect(reply.isOk && reply.value.status).to.equal(404);
    }
  });

  // The entry did not run the request, but cannot know whether an earlier attempt
  // ran at another entry, so it must not answer not_run to a retry.
  it("gets the verdict not_run on a refusal only for the first attempt", async () => {
    const call = createDraftCall(site, "/v1/pipelines/what");
    const read = async (attempt: string) => {
      const reply = await http.call({
        ...call,
        headers: {
          ...call.headers,
          [CALLER_HEADERS.requestId]: "mine",
          [CALLER_HEADERS.attempt]: attempt,
        },
      });
      return readRefusal(reply.isOk ? reply.value : undefined).verdict;
    };
    expect(await read("1")).to.equal("not_run");
    expect(await read("2")).to.equal("may_have_run");
  });

  it("is refused with 401 at the control port without a key", async () => {
    const address = site.entries[0]?.controlAddress ?? "";
    for (const path of ["/operators/status", "/peers/config"]) {
      const reply = await http.call({ method: "GET", address, path });
      expect(reply.isOk && reply.value.status).to.equal(401);
    }
    const ready = await http.call({ method: "GET", address, path: "/readyz" });
    expect(ready.isOk && ready.value.status).to.equal(200);
    const metrics = await http.call({
      method: "GET",
      address,
      path: "/metrics",
    });
    expect(metrics.isOk && metrics.value.text).to.contain(
      "mangoreach_requests",
    );
  });
});

function readMessage(reply: HttpReply | undefined): string {
  const body = parseJson(reply?.text ?? "") as
    | { error?: { message?: string } }
    | undefined;
  return body?.error?.message ?? "";
}

function readRefusal(reply: HttpReply | undefined) {
  const body = parseJson(reply?.text ?? "") as
    | { error?: { verdict?: string } }
    | undefined;
  return { status: reply?.status, verdict: body?.error?.verdict };
}
