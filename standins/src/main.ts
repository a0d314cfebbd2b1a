/**
 * The program `mangoreach-standin`: one stand-in, or several endpoints of the
 * same kind, in one process. For demo, tests and bench only.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import type { Clock } from "@mangoreach/shared";
import { createSystemClock } from "@mangoreach/shared";
import type { EngineTimes } from "./engine_batch.ts";
import { startInstanceList } from "./instance_list.ts";
import { startLogService } from "./log_service.ts";
import { startModelEngine } from "./model_engine.ts";
import type { StageTimes } from "./stage_endpoint.ts";
import { startStageEndpoint } from "./stage_endpoint.ts";
import type { Standin } from "./standin_server.ts";
import { startWeightStore } from "./weight_store.ts";

const USAGE =
  `Usage: mangoreach-standin --role ROLE [--options JSON] [--count N]

Roles: log, instance_list, weight_store, engine, endpoint. Prints one JSON line
with the addresses once all listen; stops on SIGTERM. An endpoint then refuses
new work and finishes the work in progress first.
`;

const EXIT_USAGE = 2;
const BUSY_CHECK_MS = 20;
const LEAVE_NOTICE_MS = 200;

async function startRole(
  role: string,
  { clock, options }: { clock: Clock; options: Record<string, unknown> },
): Promise<Standin> {
  switch (role) {
    case "log":
      return await startLogService({ clock, ...options });
    case "instance_list":
      return await startInstanceList({ clock, ...options });
    case "weight_store":
      return await startWeightStore({ clock, ...options });
    case "engine":
      return await startModelEngine({
        clock,
        ...options as { times: EngineTimes },
      });
    case "endpoint":
      return await startStageEndpoint({
        clock,
        ...options as { times: StageTimes },
      });
    default:
      throw new Error(`unknown role ${role}`);
  }
}

async function stopGracefully(standins: Standin[]): Promise<void> {
  for (const standin of standins) if ("leave" in standin) startDrain(standin);
  await new Promise((resolve) => setTimeout(resolve, LEAVE_NOTICE_MS));
  while (standins.some((standin) => countBusy(standin) > 0)) {
    await new Promise((resolve) => setTimeout(resolve, BUSY_CHECK_MS));
  }
  process.exit(0);
}

function startDrain(standin: object): void {
  (standin as { leave: () => void }).leave();
}

function countBusy(standin: object): number {
  if (!("countBusy" in standin)) return 0;
  return (standin as { countBusy: () => number }).countBusy();
}

async function run(): Promise<void> {
  const { values } = parseArgs({
    options: {
      role: { type: "string" },
      options: { type: "string", default: "{}" },
      count: { type: "string", default: "1" },
      help: { type: "boolean" },
    },
  });
  if (values.help || values.role === undefined) {
    process.stdout.write(USAGE);
    process.exitCode = values.help ? 0 : EXIT_USAGE;
    return;
  }
  const clock = createSystemClock();
  const options = JSON.parse(values.options) as Record<string, unknown>;
  const standins: Standin[] = [];
  for (let i = 0; i < Number(values.count); i++) {
    standins.push(await startRole(values.role, { clock, options }));
  }
  const addresses = standins.map(({ address }) => address);
  process.stdout.write(`${JSON.stringify({ addresses })}\n`);
  process.once("SIGTERM", () => void stopGracefully(standins));
}

await run();
