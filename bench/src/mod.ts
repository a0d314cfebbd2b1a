/**
 * The checker, for tests.
 *
 * @module
 */
export type {
  HistoryEntry,
  Judgement,
  ReceivedAnswer,
  SentRequest,
} from "./checker.ts";
export { isUnbroken, judgeHistory, readLabel } from "./checker.ts";
