/**
 * The client of the platform's instance list, which lags behind changes.
 *
 * @module
 */
export type {
  FollowOptions,
  InstanceListClient,
  InstanceListClientOptions,
  InstanceSnapshot,
} from "./instance_list_client.ts";
export {
  createInstanceListClient,
  ENTRY_POOL,
} from "./instance_list_client.ts";
