/**
 * The client of the platform's rate-limited weight store.
 *
 * @module
 */
export type {
  WeightInfo,
  WeightStoreClient,
  WeightStoreClientOptions,
} from "./weight_store_client.ts";
export { createWeightStoreClient } from "./weight_store_client.ts";
