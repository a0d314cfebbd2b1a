/**
 * The result of a command of `mangoreachctl`.
 *
 * @module
 */

/** The result of a command, as text and as JSON for scripts. */
export interface CommandResult {
  /** Whether the command succeeded. */
  isSuccess: boolean;
  text: string;
  json: unknown;
}
