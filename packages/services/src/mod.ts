/**
 * Plain services, some of whose calls may not be repeated.
 *
 * @module
 */
export type {
  ServiceCall,
  ServiceClient,
  ServiceClientOptions,
  ServiceReply,
} from "./service_client.ts";
export { createServiceClient } from "./service_client.ts";
