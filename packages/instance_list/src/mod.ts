/**
 * The platform's lagging instance list.
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
