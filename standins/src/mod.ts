/**
 * Stand-ins for the platform and the endpoints, for demo, tests and bench.
 *
 * @module
 */
export type { DerivedStage, StageOutput } from "./derive.ts";
export {
  computeDigest,
  derivePipelineOutput,
  derivePrompt,
  deriveServiceAnswer,
  deriveStageOutput,
  deriveTokens,
} from "./derive.ts";
export type { Execution, Faults, Standin } from "./standin_server.ts";
export { createNoFaults, startStandin } from "./standin_server.ts";
export type { LogServiceOptions } from "./log_service.ts";
export { startLogService } from "./log_service.ts";
export type { InstanceListOptions } from "./instance_list.ts";
export { startInstanceList } from "./instance_list.ts";
export type { WeightStoreOptions } from "./weight_store.ts";
export { startWeightStore } from "./weight_store.ts";
export type {
  EndpointStandin,
  StageEndpointOptions,
  StageTimes,
} from "./stage_endpoint.ts";
export { startStageEndpoint } from "./stage_endpoint.ts";
export type { EngineTimes } from "./engine_batch.ts";
export type { EngineStandin, ModelEngineOptions } from "./model_engine.ts";
export { startModelEngine } from "./model_engine.ts";
export type { LoadedModel } from "./ordered_inventory.ts";
export type {
  BadReply,
  ScriptedReply,
  ScriptedServer,
} from "./scripted_server.ts";
export {
  BAD_REPLIES,
  formatHttpReply,
  startScriptedServer,
} from "./scripted_server.ts";
export type {
  ClientForm,
  Crowd,
  CrowdOptions,
  ProcessPeak,
} from "./misbehaving_clients.ts";
export {
  formatAhead,
  formatChunk,
  formatChunks,
  sendWhole,
  startCrowd,
  watchProcess,
} from "./misbehaving_clients.ts";
export type { CreatePart, EndlessReply } from "./endless_reply.ts";
export {
  createCostlyTokens,
  createEndlessReply,
  ENDLESS_TOKENS,
} from "./endless_reply.ts";
