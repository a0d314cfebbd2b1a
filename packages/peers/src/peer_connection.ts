/**
 * The client's side of a connection to a peer, which carries calls that may
 * overlap.
 *
 * @module
 */
import { request as sendHttpRequest } from "node:http";
import type {
  AnswerInput,
  AnswerMeter,
  Clock,
  Millis,
} from "@mangoreach/shared";
import { parseAddress } from "@mangoreach/shared";
import type { ChannelFault, FrameChannel } from "./frame_channel.ts";
import { closeIdleSocket, openFrameChannel } from "./frame_channel.ts";
import type { CallFrame } from "./peer_frames.ts";
import { decodeReplyFrame, UPGRADE_PROTOCOL } from "./peer_frames.ts";
import { PEER_PATH } from "./peer_path.ts";
import { isSwitchTo, openUpgradeInput } from "./upgrade_answer.ts";

/** Options of {@linkcode openPeerConnection}. */
export interface PeerConnectionOptions {
  clock: Clock;
  /** A control address, `ip:port`. */
  address: string;
  siteKey: string;
  connectTimeout: Millis;
  idleTimeout: Millis;
  /** Counts what answers cost; not counted if left out. */
  meter?: AnswerMeter | undefined;
  /** The peer is of a build that supports only HTTP. */
  onRefused: () => void;
  /** Called when this side closes the connection for a fault of the peer. */
  onFault?: ((fault: ChannelFault) => void) | undefined;
  onClosed: () => void;
}

/** One call of a procedure; exactly one of the functions is called, once. */
export interface OutgoingCall {
  type: CallFrame["type"];
  path: string;
  input: unknown;
  onReply: (data: unknown) => void;
  onFailed: (message: string) => void;
  /** The call was not sent, since the peer supports only HTTP. */
  onRefused: () => void;
  /** Reports the sizes of the messages. */
  onBytes: (direction: "in" | "out", bytes: number) => void;
}

/** A connection to a peer. */
export interface PeerConnection {
  /** Starts a call; the function returned abandons it. */
  call(call: OutgoingCall): () => void;
  /** Closes the connection as soon as its calls in progress have ended. */
  retire(): void;
  close(): void;
}

/**
 * Calls in progress, queued ones included; an entry has fewer than a hundred
 * requests in progress, with some calls each.
 */
const MAX_CALLS = 4_096;

/**
 * Opens a connection; calls are queued until the peer has accepted it.
 *
 * @throws {Error} if the address is malformed.
 */
export function openPeerConnection(
  options: PeerConnectionOptions,
): PeerConnection {
  const { clock, address, siteKey, idleTimeout, meter } = options;
  const { onRefused, onClosed } = options;
  const calls = new Map<number, OutgoingCall>();
  let channel: FrameChannel | undefined;
  let nextId = 0;
  /** Abandoned calls whose replies may still be on their way. */
  let abandoned = 0;
  let isRetired = false;
  let isEnded = false;
  const request = sendUpgrade();
  const stopTimer = clock.startTimer(
    options.connectTimeout,
    () => end("the connection could not be opened in time"),
  );

  function isBusy(): boolean {
    return calls.size > 0;
  }

  function sendUpgrade() {
    const target = parseAddress(address);
    if (target === undefined) throw new Error("the address is malformed");
    const upgrade = sendHttpRequest({
      ...target,
      path: PEER_PATH,
      agent: false,
      headers: {
        authorization: `Bearer ${siteKey}`,
        connection: "Upgrade",
        upgrade: UPGRADE_PROTOCOL,
      },
    });
    // A peer that is short of processor time accepts the connection in time,
    // but may answer the upgrade late; the time-outs of the calls apply then.
    let input: AnswerInput | undefined;
    upgrade.once("socket", (socket) => {
      socket.once("connect", stopTimer);
      input = openUpgradeInput(socket, {
        address,
        meter,
        onExceeded: (error) => end(error.message),
      });
      // No call is left to time out if all of them were abandoned.
      closeIdleSocket(socket, { idleTimeout, isBusy });
    });
    upgrade.once("response", () => {
      const refused = [...calls.values()];
      calls.clear();
      onRefused();
      end("the peer refused the connection");
      refused.forEach((call) => call.onRefused());
    });
    upgrade.once("upgrade", (response, socket, head) => {
      input?.detach();
      if (isEnded) return void socket.destroy();
      if (!isSwitchTo(response, UPGRADE_PROTOCOL)) {
        socket.destroy();
        return end("the peer switched to another protocol");
      }
      channel = openFrameChannel(socket, {
        head,
        idleTimeout,
        isBusy,
        onMessage: handleMessage,
        onClosed(fault) {
          if (fault === undefined) return end("the connection was closed");
          options.onFault?.(fault);
          end(`the connection was closed: ${fault}`);
        },
      });
      for (const [id, call] of calls) sendCall(id, call);
    });
    upgrade.on("error", (error) => end(error.message));
    upgrade.end();
    return upgrade;
  }

  function end(reason: string): void {
    if (isEnded) return;
    isEnded = true;
    stopTimer();
    channel?.close();
    request.destroy();
    onClosed();
    const failed = [...calls.values()];
    calls.clear();
    failed.forEach((call) => call.onFailed(reason));
  }

  function handleMessage(
    message: unknown,
    bytes: number,
  ): string | undefined {
    const reply = decodeReplyFrame(message);
    if (reply === undefined) return "not a reply";
    if (reply.id < 0 || reply.id >= nextId) return "a reply to no call";
    const call = calls.get(reply.id);
    if (call === undefined) {
      // A peer could otherwise send replies to nobody without end.
      if (abandoned === 0) return "more replies than calls";
      abandoned--;
      return undefined;
    }
    removeCall(reply.id);
    call.onBytes("in", bytes);
    if (reply.error === undefined) call.onReply(reply.data);
    else call.onFailed(reply.error);
    return undefined;
  }

  function removeCall(id: number): void {
    calls.delete(id);
    if (isRetired && calls.size === 0) end("the connection was closed");
  }

  function sendCall(id: number, call: OutgoingCall): void {
    const { type, path, input } = call;
    const sent = channel?.send({ id, type, path, input });
    if (typeof sent === "number") return call.onBytes("out", sent);
    // A channel that is closed fails all calls when its socket has closed.
    if (sent !== "too_large" || !calls.has(id)) return;
    removeCall(id);
    call.onFailed("the message is too large");
  }

  function call(outgoing: OutgoingCall): () => void {
    if (isEnded || calls.size >= MAX_CALLS) {
      outgoing.onFailed(
        isEnded ? "the connection was closed" : "too many calls",
      );
      return () => {};
    }
    const id = nextId++;
    calls.set(id, outgoing);
    if (channel !== undefined) sendCall(id, outgoing);
    return () => {
      if (!calls.has(id)) return;
      channel?.send({ id, cancel: true });
      if (channel !== undefined) abandoned = Math.min(MAX_CALLS, abandoned + 1);
      removeCall(id);
    };
  }

  return {
    call,
    retire() {
      isRetired = true;
      if (calls.size === 0) end("the connection was closed");
    },
    close: () => end("the connection was closed"),
  };
}
