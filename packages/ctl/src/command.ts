/**
 * What every command of `mangoreachctl` gives back.
 *
 * @module
 */

/** The result of a command, for people and for scripts. */
export interface CommandResult {
  /** Whether what was asked for was done. */
  isGood: boolean;
  text: string;
  json: unknown;
}
