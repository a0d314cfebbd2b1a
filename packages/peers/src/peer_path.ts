/**
 * Where peers answer.
 *
 * @module
 */

/** Path prefix of the peers' protocol on the control port. */
export const PEER_PATH = "/peers/";
