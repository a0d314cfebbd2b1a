/**
 * Starts a program whose connections to some addresses can be cut from outside:
 * node soak/src/cut_launcher.cjs PROGRAM ARGUMENTS. The parent process sends
 * `{ mode, passing }`, where `passing` lists the addresses that stay reachable,
 * or `{ mode, blocked }`, where all but the listed ones do.
 *
 * A proxy cannot do this: all entries connect to the same endpoints, and it
 * accepts connections that should be refused or get no response.
 */
"use strict";

const net = require("node:net");
const process = require("node:process");
const { resolve } = require("node:path");

/** Nothing listens there, so that connections are refused. */
const DEAD_PORT = 1;

const openConnection = net.connect;
/** Open connections and their targets. */
const connections = new Map();
let mode = "none";
let passing = new Set();
/** Undefined while `passing` decides. */
let blocked;

function isCut(target) {
  if (mode === "none") return false;
  return blocked === undefined ? !passing.has(target) : blocked.has(target);
}

function createSilentSocket(options) {
  const socket = new net.Socket(options);
  // Writes wait for the event `connect`, which never comes.
  socket.connecting = true;
  return socket;
}

function connect(...parameters) {
  const [options] = parameters;
  if (typeof options !== "object" || options.port === undefined) {
    return openConnection(...parameters);
  }
  const target = `${options.host}:${options.port}`;
  if (isCut(target)) {
    return mode === "hang"
      ? createSilentSocket(options)
      : openConnection({ ...options, port: DEAD_PORT });
  }
  const socket = openConnection(...parameters);
  connections.set(socket, target);
  socket.once("close", () => connections.delete(socket));
  return socket;
}

function resetConnection(socket) {
  const error = new Error("read ECONNRESET");
  socket.destroy(Object.assign(error, { code: "ECONNRESET", syscall: "read" }));
}

/** Drops all bytes of a connection in both directions. */
function silenceConnection(socket) {
  socket._handle?.readStop();
  socket._read = () => {};
  socket._writeGeneric = () => {};
}

function applyCut(change) {
  const silenced = mode === "hang" ? [...connections] : [];
  // What a cut has dropped is not delivered after its end.
  for (const [socket, target] of silenced) {
    if (isCut(target)) resetConnection(socket);
  }
  mode = change.mode;
  passing = new Set(change.passing);
  blocked = change.blocked && new Set(change.blocked);
  for (const [socket, target] of connections) {
    if (!isCut(target)) continue;
    if (mode === "reset") resetConnection(socket);
    if (mode === "hang") silenceConnection(socket);
  }
}

net.connect = connect;
net.createConnection = connect;
process.on("message", applyCut);
process.channel?.unref();
process.argv.splice(1, 1);
require(resolve(process.argv[1]));
process.send?.("loaded");
