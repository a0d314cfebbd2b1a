/**
 * The client of plain services, some of whose calls must not be repeated.
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
