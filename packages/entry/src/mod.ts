/**
 * The entry, for tests and for programs that embed it.
 *
 * @module
 */
export type { Entry, EntryOptions } from "./entry.ts";
export { startEntry } from "./entry.ts";
export type { EntrySettings } from "./entry_settings.ts";
export { entrySettingsSchema, parseEntrySettings } from "./entry_settings.ts";
