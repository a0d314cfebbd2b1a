/**
 * Abort signals that many tasks listen to.
 *
 * @module
 */
import { setMaxListeners } from "node:events";

/**
 * Creates a controller whose signal any number of tasks may listen to at once;
 * Node.js takes more than ten listeners for a leak and prints a warning.
 */
export function createSharedController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
