/**
 * The clients for all services that an entry calls.
 *
 * @module
 */
import type { EngineClient, EngineOrderClient } from "@mangoreach/engines";
import {
  createEngineClient,
  createEngineOrderClient,
} from "@mangoreach/engines";
import type { InstanceListClient } from "@mangoreach/instance_list";
import { createInstanceListClient } from "@mangoreach/instance_list";
import type { LogClient } from "@mangoreach/log";
import { createLogClient } from "@mangoreach/log";
import type { PeerClient } from "@mangoreach/peers";
import { createPeerClient } from "@mangoreach/peers";
import type { ServiceClient } from "@mangoreach/services";
import { createServiceClient } from "@mangoreach/services";
import type { Millis } from "@mangoreach/shared";
import type { StageClient, StageClientOptions } from "@mangoreach/stages";
import { createStageClient } from "@mangoreach/stages";
import type { WeightStoreClient } from "@mangoreach/weight_store";
import { createWeightStoreClient } from "@mangoreach/weight_store";
import type { EntryContext } from "./entry_context.ts";

/** The clients of one entry. */
export interface SiteClients {
  log: LogClient;
  instanceList: InstanceListClient;
  weights: WeightStoreClient;
  peers: PeerClient;
  engines: EngineClient;
  orders: EngineOrderClient;
  stages: StageClient;
  services: ServiceClient;
  /** Closes all connections. */
  close(): Promise<void>;
}

const PLATFORM_TIMEOUT: Millis = 2_000;
const ENGINE_TIMEOUT: Millis = 1_000;
const PEER_TIMEOUT: Millis = 1_000;

/** Creates the clients; each connects on its first call. */
export function createSiteClients(
  { settings, clock }: EntryContext,
  endpointOptions: Omit<StageClientOptions, "clock">,
): SiteClients {
  const { meter } = endpointOptions;
  const log = createLogClient({
    clock,
    address: settings.logAddress,
    appendTimeoutMs: PLATFORM_TIMEOUT,
    meter,
  });
  const instanceList = createInstanceListClient({
    clock,
    address: settings.instanceListAddress,
    timeoutMs: PLATFORM_TIMEOUT,
    meter,
  });
  const peers = createPeerClient({
    clock,
    siteKey: settings.siteKey,
    timeoutMs: PEER_TIMEOUT,
  });
  const orders = createEngineOrderClient({
    clock,
    timeoutMs: ENGINE_TIMEOUT,
    meter,
  });
  const weights = createWeightStoreClient({
    clock,
    address: settings.weightStoreAddress,
    timeoutMs: PLATFORM_TIMEOUT,
    meter,
  });
  const engines = createEngineClient({
    clock,
    ...endpointOptions,
    timeoutMs: ENGINE_TIMEOUT,
  });
  const stages = createStageClient({ clock, ...endpointOptions });
  const services = createServiceClient({ clock, ...endpointOptions });
  const clients = {
    log,
    instanceList,
    weights,
    peers,
    engines,
    orders,
    stages,
    services,
  };
  async function close(): Promise<void> {
    await Promise.all(Object.values(clients).map((client) => client.close()));
  }
  return { ...clients, close };
}
