import { Buffer } from "node:buffer";
import process from "node:process";
import { createSystemClock } from "@mangoreach/shared";
import type { EndpointStandin } from "@mangoreach/standins";
import { deriveServiceAnswer, startStageEndpoint } from "@mangoreach/standins";
import { expect } from "chai";
import type { ServiceClient } from "./service_client.ts";
import { createServiceClient } from "./service_client.ts";

const EXTERNAL = process.env.MANGOREACH_SERVICE_URL;
const BODY = '{"notice":1}';

describe("plain service contract", () => {
  const clock = createSystemClock();
  let standin: EndpointStandin;
  let services: ServiceClient;
  let dropped: number;

  beforeEach(async () => {
    dropped = 0;
    standin = await startStageEndpoint({
      clock,
      times: { slots: 2, baseMs: 1, perThousandMs: 0 },
    });
    services = createServiceClient({
      clock,
      onAnswer: () => {},
      onDropped: () => dropped++,
    });
  });

  afterEach(async () => {
    await services.close();
    await standin.stop();
  });

  function call() {
    return services.call({
      endpoint: {
        id: "billing-1",
        incarnation: "1",
        pool: "billing",
        place: "odda",
        address: EXTERNAL ?? standin.address,
        state: "live",
      },
      requestId: "handlers/r1",
      stage: "billing",
      attempt: 1,
      path: "notice",
      contentType: "application/json",
      body: Buffer.from(BODY),
      causalTime: "1.0",
      signal: AbortSignal.timeout(300),
    });
  }

  it("forwards the answer of the service", async () => {
    const reply = await call();
    expect(reply.isOk && JSON.parse(reply.value.text))
      .to.deep.equal(deriveServiceAnswer("notice", BODY));
  });

  const FAULTS = [
    { name: "a lost answer", faults: { loseAnswers: 1 } },
    { name: "a truncated answer", faults: { cutAnswers: 1 } },
    { name: "a failure after it ran", faults: { failures: 1 } },
    { name: "a service that hangs", faults: { hangs: true } },
    { name: "an answer for another request", faults: { wrongEchoes: 1 } },
  ] as const;

  for (const { name, faults } of FAULTS) {
    it(`never reports not_run for ${name}`, async () => {
      Object.assign(standin.faults, faults);
      const reply = await call();
      expect(reply.isErr && reply.error.verdict).to.equal("may_have_run");
      expect(dropped).to.equal("wrongEchoes" in faults ? 1 : 0);
    });
  }

  it("trusts a refusal with not_run", async () => {
    standin.leave();
    const reply = await call();
    expect(reply.isErr && reply.error.verdict).to.equal("not_run");
  });
});
