/**
 * Configuration that operators publish, and the operator API of entries.
 *
 * @module
 */
export type {
  ClassConfig,
  ConfigDocument,
  ModelConfig,
  PipelineConfig,
  PoolConfig,
  ServiceConfig,
  StageConfig,
} from "./config_document.ts";
export { configDocumentSchema } from "./config_document.ts";
export type {
  ActiveConfig,
  ConfigState,
  ConfigStreamRecord,
  PublishOptions,
  PublishOutcome,
} from "./config_stream.ts";
export {
  configInForceSchema,
  parseConfigRecord,
  publishConfig,
  readConfigState,
} from "./config_stream.ts";
export type { ConfigChange } from "./config_diff.ts";
export { compareConfigs } from "./config_diff.ts";
export type {
  EntryStatus,
  NamedPoolStatus,
  OperatorClient,
  OperatorClientOptions,
} from "./operator_api.ts";
export { createOperatorClient, OPERATOR_PATHS } from "./operator_api.ts";
export type { OperatorSettings } from "./operator_settings.ts";
export { operatorSettingsSchema } from "./operator_settings.ts";
