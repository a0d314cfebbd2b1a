import { createFakeClock } from "@mangoreach/shared";
import { expect } from "chai";
import * as fc from "fast-check";
import type { ResumeTokenContent } from "./resume_token.ts";
import { createResumeTokens } from "./resume_token.ts";

const CONTENT: ResumeTokenContent = {
  account: "handlers",
  requestId: "r1",
  endpointId: "engine-1",
  address: "127.0.0.1:1",
  pool: "engine",
  place: "odda",
  incarnation: "1",
  streamId: "s",
  className: "rulings",
  deadlineAt: 1_000,
  expiresAt: 2_000,
};

describe("resume token", () => {
  const clock = createFakeClock(0);
  const tokens = createResumeTokens({ clock, siteKey: "a-site-key-of-tests" });
  const token = tokens.sign(CONTENT);

  it("returns its content to its own account at any entry with the site's key", () => {
    const other = createResumeTokens({ clock, siteKey: "a-site-key-of-tests" });
    expect(other.check(token, "handlers")).to.deep.equal(CONTENT);
  });

  const REFUSED = [
    { name: "another account", token, account: "portal" },
    { name: "an empty token", token: "", account: "handlers" },
    {
      name: "a token without a signature",
      token: token.split(".")[0]!,
      account: "handlers",
    },
    {
      name: "a token with an extra part",
      token: `${token}.x`,
      account: "handlers",
    },
    {
      name: "another site's token",
      token: createResumeTokens({ clock, siteKey: "another-key-of-tests" })
        .sign(CONTENT),
      account: "handlers",
    },
  ];
  for (const { name, token, account } of REFUSED) {
    it(`gives nothing to ${name}`, () => {
      expect(tokens.check(token, account)).to.equal(undefined);
    });
  }

  it("gives nothing for a token with any one character changed", () => {
    const position = fc.integer({ min: 0, max: token.length - 2 });
    fc.assert(
      fc.property(position, fc.constantFrom("A", "b", "_"), (at, c) => {
        fc.pre(token[at] !== c && token[at] !== ".");
        const changed = token.slice(0, at) + c + token.slice(at + 1);
        // The last character of base64url may hold unused bits.
        const isUnused = at === token.indexOf(".") - 1;
        if (!isUnused) {
          expect(tokens.check(changed, "handlers")).to.equal(undefined);
        }
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  it("returns undefined once it has expired", async () => {
    await clock.advance(4_001);
    expect(tokens.check(token, "handlers")).to.equal(undefined);
  });
});
