/**
 * The path of the protocol between entries.
 *
 * @module
 */

/** Path prefix of the protocol on the control port. */
export const PEER_PATH = "/peers/";
