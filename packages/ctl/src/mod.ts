/**
 * Access to a site for the operators' command-line tools.
 *
 * @module
 */
export type {
  EntryAddress,
  EntryStatusResult,
  SiteAccess,
} from "./site_access.ts";
export { createSiteAccess } from "./site_access.ts";
export { formatTable } from "./table.ts";
