/**
 * How the operators' programs reach a site.
 *
 * @module
 */
export type { EntryAddress, EntryReading, SiteAccess } from "./site_access.ts";
export { createSiteAccess } from "./site_access.ts";
export { formatTable } from "./table.ts";
