/**
 * Clients of model engines: generation, load reports, cache events and orders.
 *
 * @module
 */
export type {
  EngineClient,
  EngineClientOptions,
  GenerateCall,
  ResumeCall,
} from "./engine_client.ts";
export { createEngineClient } from "./engine_client.ts";
export type { GenerationEvent, Token } from "./generation.ts";
export { readGeneration } from "./generation.ts";
export type {
  DesiredState,
  EngineOrder,
  EngineOrderClient,
  EngineOrderClientOptions,
  EngineRole,
  EngineState,
  ModelAssignment,
} from "./engine_orders.ts";
export { createEngineOrderClient } from "./engine_orders.ts";
