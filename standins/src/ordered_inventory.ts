/**
 * The models and the role of the stand-in engine, and the orders that change
 * them, with or without a check of fencing numbers.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";
import { parseJson, sendJson } from "@mangoreach/shared";
import type { StandinRequest } from "./standin_server.ts";

/** An order that a stand-in engine applied. */
export interface OrderRecord {
  fence: number;
  desired: unknown;
}

/** A model that an engine has loaded. */
export interface LoadedModel {
  name: string;
  version: string;
  adapters: string[];
}

/** Options of {@linkcode createOrderedInventory}. */
export interface OrderedInventoryOptions {
  clock: Clock;
  /** Whether orders with an outdated fencing number are refused. */
  checksFencing?: boolean;
  /** Models that are loaded at the start; others are loaded by order. */
  models?: LoadedModel[];
  /** How long loading a model takes. */
  loadMs?: Millis;
}

/** The models and the role of one engine. */
export interface OrderedInventory {
  readonly orders: OrderRecord[];
  hasModel(model: string): boolean;
  handleOrder(request: StandinRequest): void;
  readState(): { fence: number; models: LoadedModel[]; role: string };
}

const DEFAULT_LOAD: Millis = 300;

/** Creates the inventory of an engine that has received no order. */
export function createOrderedInventory(
  { clock, checksFencing, models: initialModels = [], loadMs = DEFAULT_LOAD }:
    OrderedInventoryOptions,
): OrderedInventory {
  const orders: OrderRecord[] = [];
  let models = initialModels;
  let role = "both";
  let highestFence = -1;

  function handleOrder({ response, body }: StandinRequest): void {
    const order = parseJson(body) as OrderRecord & {
      desired: { models: LoadedModel[]; role: string };
    };
    if (checksFencing && order.fence < highestFence) {
      return sendJson(response, {
        status: 409,
        body: { highest_fence: highestFence },
      });
    }
    highestFence = Math.max(highestFence, order.fence);
    orders.push(order);
    role = order.desired.role;
    const desiredNames = new Set(order.desired.models.map(({ name }) => name));
    models = models.filter(({ name }) => desiredNames.has(name));
    clock.startTimer(loadMs, () => {
      // Skipped if a newer order has replaced this one while the models loaded.
      if (orders.at(-1) === order) models = order.desired.models;
    });
    sendJson(response, { status: 200, body: { fence: order.fence } });
  }

  return {
    orders,
    hasModel: (model) => models.some(({ name }) => name === model),
    handleOrder,
    readState: () => ({ fence: highestFence, models, role }),
  };
}
