/**
 * The client of stage endpoints: encoders, retrievers and rerankers.
 *
 * @module
 */
export type {
  StageCall,
  StageClient,
  StageClientOptions,
  StageInput,
  StageReply,
} from "./stage_client.ts";
export { createStageClient } from "./stage_client.ts";
