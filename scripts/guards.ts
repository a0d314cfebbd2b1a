/**
 * `npm run guards`: mutation testing of safety checks. Removes each guard from the
 * code, one at a time, runs its tests, restores it and reports whether a test
 * failed. Tests that pass without the guard do not cover it.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

/** A guard, the mutation that disables it, and the tests that must fail then. */
interface Guard {
  name: string;
  file: string;
  /** Source text of the guard, which must occur exactly once in the file. */
  text: string;
  /** Text that replaces it. */
  without: string;
  /** Pattern that matches the titles of the tests to run. */
  test: string;
}

const COORDINATION = "packages/coordination/src";
const ENTRY = "packages/entry/src";

const GUARDS: readonly Guard[] = [
  {
    name: "a publish must be based on the version in force",
    file: `${COORDINATION}/config_fold.ts`,
    text: 'if (record.basedOn !== (inForce?.version ?? 0)) return "rejected";',
    without: "",
    test: "applies the first of two conflicting publishes",
  },
  {
    name: "a late copy is ignored",
    file: `${COORDINATION}/config_fold.ts`,
    text: "const isNewer = record.version > (inForce?.version ?? 0);",
    without: "const isNewer = true;",
    test: "ignores a copy that arrives late",
  },
  {
    name: "publishes wait until a base covers the gap",
    file: `${COORDINATION}/config_fold.ts`,
    text:
      "if (gapBefore === undefined) return applyPublish({ record, offset });",
    without: "return applyPublish({ record, offset });",
    test: "does not decide",
  },
  {
    name: "an expired lease cannot be renewed",
    file: `${COORDINATION}/lease.ts`,
    text: 'if (!isHolder || at.time > current.expiresAt) return "refused";',
    without: 'if (!isHolder) return "refused";',
    test: "paused beyond its lease",
  },
  {
    name: "the first claim in log order wins",
    file: `${COORDINATION}/claim_table.ts`,
    text: "if (holder === undefined) holders.set(key, claim);",
    without: "holders.set(key, claim);",
    test:
      "counts a claim once|separates accounts|distinguishes accounts|lets the first in log order",
  },
  {
    name: "ids older than the stored claims are refused",
    file: `${ENTRY}/at_most_once_guard.ts`,
    text: "if (!claims.table.isWithinWindow(id.issuedAt)) {",
    without: "if (false) {",
    test: "older than the claims that are kept",
  },
  {
    name: "only the named incarnation runs a bound id",
    file: `${ENTRY}/at_most_once_guard.ts`,
    text: "if (id.incarnation !== incarnation) {",
    without: "if (false) {",
    test: "never runs what is bound elsewhere|earlier incarnation",
  },
  {
    name: "an expired binding does not run",
    file: `${ENTRY}/at_most_once_guard.ts`,
    text: 'if (id.expiresAt <= now) return Result.err(failUnknown("expired"));',
    without: "",
    test: "expired id whose record may be gone",
  },
  {
    name: "a request forbidden on behalf of a peer does not run",
    file: `${COORDINATION}/outcome_table.ts`,
    text: 'if (record !== undefined) return { kind: "forbidden" };',
    without: "",
    test: "keeps its promise to a peer",
  },
  {
    name: "the request ids in a stage result are checked",
    file: "packages/endpoints/src/endpoint_protocol.ts",
    text:
      "return echo.request_id === call.requestId && echo.stage === call.stage &&",
    without: "return echo.stage === call.stage &&",
    test: "belongs to another call|belongs to another request",
  },
  {
    name: "missing tokens are detected",
    file: "packages/engines/src/generation.ts",
    text: "if (!token.success || Number(event.id) !== expected) {",
    without: "if (!token.success) {",
    test: "reports a stream with",
  },
  {
    name: "the end of a stream is checked against its token count",
    file: "packages/engines/src/generation.ts",
    text: "if (!end.success || end.data.count !== expected) {",
    without: "if (!end.success) {",
    test: "reports a stream with",
  },
  {
    name: "a request on a broken connection may have run",
    file: "packages/shared/src/http_client.ts",
    text: 'return { kind: "cut", sent: "maybe", message };',
    without: 'return { kind: "cut", sent: "no", message };',
    test: "a lost answer",
  },
  {
    name: "non-idempotent calls are not repeated",
    file: `${ENTRY}/stage_attempts.ts`,
    text:
      'const mayRepeat = run.isIdempotent || failure.verdict === "not_run";',
    without: "const mayRepeat = true;",
    test: "does not repeat a service call whose answer was lost",
  },
  {
    name: "a resume token belongs to one account",
    file: `${ENTRY}/resume_token.ts`,
    text:
      "if (!content.success || content.data.account !== account) return undefined;",
    without: "if (!content.success) return undefined;",
    test: "gives nothing to another account",
  },
  {
    name: "resume tokens are signed",
    file: `${ENTRY}/resume_token.ts`,
    text: "if (!timingSafeEqual(given, expected)) return undefined;",
    without: "",
    test: "any one character changed|another site's token",
  },
  {
    name: "a leaving mark takes precedence over the instance list",
    file: `${COORDINATION}/endpoint_directory.ts`,
    text: "!isMarked(formatEndpointKey(endpoint))",
    without: "true",
    test: "report to the instance list",
  },
  {
    name: "a mark from a peer keeps its age",
    file: `${COORDINATION}/endpoint_directory.ts`,
    text: "const markedAt = clock.now() - age;",
    without: "const markedAt = clock.now();",
    test: "does not keep a mark alive",
  },
  {
    name: "ejection is limited to a share of a pool",
    file: `${COORDINATION}/endpoint_health.ts`,
    text:
      "if (ejected + 1 > Math.floor(pool.length * SLOW_SHARE)) return undefined;",
    without: "",
    test: "never ejects more than a third",
  },
  {
    name: "lost peers are contacted occasionally",
    file: `${COORDINATION}/membership.ts`,
    text: "const shouldTryLost = random() < LOST_PEER_SHARE;",
    without: "const shouldTryLost = false;",
    test: "so that a network partition heals",
  },
  {
    name: "an entry gets the configuration from peers",
    file: `${ENTRY}/peer_exchange.ts`,
    text:
      "if (newer.isOk && newer.value !== undefined) config.adopt(newer.value);",
    without: "",
    test: "get the configuration from a peer",
  },
  {
    name: "the configuration is republished before the log drops it",
    file: `${ENTRY}/config_follower.ts`,
    text: 'const ack = await log.append("config", record);',
    without: "const ack = { isOk: false };",
    test: "beyond the retention period",
  },
  {
    name: "a stop waits for running requests",
    file: `${ENTRY}/entry.ts`,
    text: "await waitForRequests();",
    without: "",
    test: "do not cut off requests in progress",
  },
  {
    name: "an abandoned generation is cancelled at the engine",
    file: `${ENTRY}/generation_runner.ts`,
    text: "if (first.streamId !== undefined) {",
    without: "if (false) {",
    test: "abandoned before its first token",
  },
  {
    name: "not_run is reported only for a first attempt",
    file: `${ENTRY}/request_outcome.ts`,
    text:
      'if (failure.verdict !== "not_run" || head.isFirstAttempt) return failure;',
    without: 'if (failure.verdict !== "may_have_run") return failure;',
    test: "only for the first attempt",
  },
];

/** Runs the tests of a guard; true if at least one failed. */
function isDetected({ test }: Guard): boolean {
  const { status, stdout } = spawnSync(
    "npx",
    ["--no-install", "mocha", "--reporter", "min", "-g", test],
    { encoding: "utf8", timeout: 60_000 },
  );
  return status !== 0 && /\d+ failing/.test(stdout);
}

function checkGuard(
  guard: Guard,
): "detected" | "undetected" | "no such text" {
  const original = readFileSync(guard.file, "utf8");
  if (original.split(guard.text).length !== 2) return "no such text";
  try {
    writeFileSync(guard.file, original.replace(guard.text, guard.without));
    return isDetected(guard) ? "detected" : "undetected";
  } finally {
    writeFileSync(guard.file, original);
  }
}

/** `npm run guards -- TEXT` checks only the guards whose name contains TEXT. */
const nameFilter = process.argv[2] ?? "";
const selected = GUARDS.filter(({ name }) => name.includes(nameFilter));
const counts = {
  guards: selected.length,
  detected: 0,
  undetected: 0,
  broken: 0,
};
for (const guard of selected) {
  const outcome = checkGuard(guard);
  if (outcome === "detected") counts.detected++;
  else if (outcome === "undetected") counts.undetected++;
  else counts.broken++;
  process.stdout.write(`${outcome.padEnd(12)} ${guard.name}\n`);
}
process.stdout.write(`${JSON.stringify(counts)}\n`);
process.exitCode = counts.detected === counts.guards ? 0 : 1;
