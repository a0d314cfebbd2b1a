/**
 * Exports the history checker for tests.
 *
 * @module
 */
export type {
  CheckResult,
  HistoryEntry,
  ReceivedAnswer,
  SentRequest,
} from "./checker.ts";
export { checkHistory, hasNoViolations, parseLabel } from "./checker.ts";
