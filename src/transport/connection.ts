/** An authenticated connection between two processes of the system. */

import type { Socket } from "node:net";
import type { Clock } from "../common/clock.ts";
import type { EventLoopProfile } from "../common/event_loop_profile.ts";
import { withTimeout } from "../common/promises.ts";
import { AsyncQueue } from "../common/queue.ts";
import type { Heartbeat, Message } from "../protocol/mod.ts";
import * as codec from "./codec.ts";
import { FrameDecoder } from "./frame_decoder.ts";
import type { Identity } from "./identity.ts";
import { SharedInterval } from "./shared_interval.ts";
import type { Traffic } from "./traffic.ts";

/** Large enough for the largest body and its headers. */
const MAX_PAYLOAD_BYTES = 16 * 1024 * 1024;
/**
 * Bytes that a peer may send before it has proved that it knows the fleet key.
 * The proof may come in one read of 64 KB with the messages after it.
 */
const UNPROVEN_LIMIT_BYTES = 128 * 1024;
/** Heartbeat interval while requests are in flight. */
const BUSY_HEARTBEAT_MS = 500;
/** Longest heartbeat interval while no requests are in flight. */
const IDLE_HEARTBEAT_MS = 10_000;
/**
 * Longest heartbeat interval between a router and an admission controller. A
 * router that waits for a permit gets heartbeats as often as any busy end; each
 * of hundreds of routers and controllers is connected to all of the others, so
 * that nothing more frequent is affordable without a cause.
 */
export const ADMISSION_HEARTBEAT_MS = 2_000;
/** Heartbeat intervals without data after which a connection is closed. */
const MISSED_HEARTBEATS = 3;
/** Limit for flushing sent messages before a connection is closed. */
const END_TIMEOUT_MS = 1_000;
/** A check that runs this late means that this process was paused. */
const PROCESS_PAUSE_MS = 1_000;
/** Time between two checks of the peer's silence and of own heartbeats. */
const CHECK_INTERVAL_MS = 250;

const checks = new SharedInterval(CHECK_INTERVAL_MS);

/** What a connection needs from the process that owns it. */
export interface ConnectionOwner {
  readonly clock: Clock;
  readonly traffic: Traffic;
  /** Configuration version in force, which heartbeats announce. */
  configurationVersion(): number;
  /** Measures the decoding of received messages. */
  readonly profile?: Pick<EventLoopProfile, "measure">;
  /** Called for each received message. */
  onReceived?(type: Message["type"]): void;
}

/** Sends and receives messages, sends heartbeats and detects silent peers. */
export class Connection {
  readonly #socket: Socket;
  readonly #owner: ConnectionOwner;
  readonly #decoder = new FrameDecoder(MAX_PAYLOAD_BYTES);
  readonly #received = new AsyncQueue<Message>();
  #peer: Identity | null = null;
  #unprovenBytes = 0;
  #idleHeartbeatMs = IDLE_HEARTBEAT_MS;
  #busy = false;
  #corked = false;
  #closeReason: string | null = null;
  #lastReceivedMs: number;
  #lastCheckMs: number;
  #lastSentMs = 0;
  /** Interval that the last heartbeat announced to the peer. */
  #announcedMs = IDLE_HEARTBEAT_MS;
  #peerIntervalMs = IDLE_HEARTBEAT_MS;
  #peerBusy = false;
  #announcedBusy = false;
  #busySinceMs = 0;
  #stopChecks: (() => void) | null = null;

  constructor(socket: Socket, owner: ConnectionOwner) {
    this.#socket = socket;
    this.#owner = owner;
    this.#lastReceivedMs = owner.clock.monotonicMs();
    this.#lastCheckMs = this.#lastReceivedMs;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#receive(chunk));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("Peer closed the connection"));
  }

  /** The authenticated peer; throws before `start`. */
  get peer(): Identity {
    if (this.#peer === null) throw new Error("Peer is not authenticated");
    return this.#peer;
  }

  /** Why the connection closed; null while it is open. */
  get closeReason(): string | null {
    return this.#closeReason;
  }

  /** Address and port of the peer, for logs. */
  get remoteAddress(): string {
    return `${this.#socket.remoteAddress}:${this.#socket.remotePort}`;
  }

  /** Received messages in order, until the connection closes. */
  get messages(): AsyncIterable<Message> {
    return this.#received;
  }

  /** Starts heartbeats; call it once the peer is authenticated. */
  start(peer: Identity): void {
    this.#peer = peer;
    this.#lastCheckMs = this.#owner.clock.monotonicMs();
    this.#stopChecks = checks.add(() => this.#check());
    // Deferred, so that the code that serves this connection can first set the
    // idle interval: the peer relies on the interval announced here.
    queueMicrotask(() => this.sendHeartbeat());
  }

  /**
   * Sets the heartbeat interval while no requests are in flight; at most
   * `IDLE_HEARTBEAT_MS`.
   */
  setIdleHeartbeatMs(idleMs: number): void {
    this.#idleHeartbeatMs = Math.min(idleMs, IDLE_HEARTBEAT_MS);
  }

  /** Sets whether requests are in flight: heartbeats are then more frequent. */
  setBusy(busy: boolean): void {
    if (busy && !this.#busy) {
      this.#busySinceMs = this.#owner.clock.monotonicMs();
    }
    this.#busy = busy;
  }

  /** Sends a heartbeat now, with the configuration version in force. */
  sendHeartbeat(): void {
    this.#announcedMs = this.#heartbeatIntervalMs;
    this.#announcedBusy = this.#busy;
    this.send({
      type: "heartbeat",
      nextMs: this.#announcedMs,
      busy: this.#busy,
      configurationVersion: this.#owner.configurationVersion(),
    });
  }

  /** Sends a message; does nothing once the connection is closed. */
  send(message: Message): void {
    if (this.#closeReason === null)
      this.sendEncoded(message, codec.encode(message));
  }

  /** Sends a message that was encoded once for several connections. */
  sendEncoded(message: Message, frame: Buffer): void {
    if (this.#closeReason !== null) return;
    this.#lastSentMs = this.#owner.clock.monotonicMs();
    this.#owner.traffic.count(message, frame.length);
    this.#cork();
    this.#socket.write(frame);
  }

  /** Closes immediately; the first reason is kept. */
  close(reason: string): void {
    if (this.#closeReason !== null) return;
    this.#closeReason = reason;
    this.#stopChecks?.();
    this.#received.close();
    this.#socket.destroy();
  }

  /** Closes once all sent messages are flushed, or after a time limit. */
  async end(reason: string): Promise<void> {
    if (this.#closeReason !== null) return;
    const sent = new Promise<void>((resolve) => {
      this.#socket.once("close", () => resolve());
      this.#socket.end(() => resolve());
    });
    // A peer that is frozen or unreachable no longer reads.
    await withTimeout(sent, END_TIMEOUT_MS);
    this.close(reason);
  }

  /** Combines all writes of one event loop turn into one. */
  #cork(): void {
    if (this.#corked) return;
    this.#corked = true;
    this.#socket.cork();
    process.nextTick(() => {
      this.#corked = false;
      this.#socket.uncork();
    });
  }

  #receive(chunk: Buffer): void {
    this.#lastReceivedMs = this.#owner.clock.monotonicMs();
    if (this.#peer === null) {
      this.#unprovenBytes += chunk.length;
      if (this.#unprovenBytes > UNPROVEN_LIMIT_BYTES) {
        this.close("Peer sent too much before its proof");
        return;
      }
    }
    const payloads = this.#decoder.push(chunk);
    if (payloads.isErr()) {
      this.close(
        `Frame of ${payloads.error.sizeBytes} bytes exceeds the limit`,
      );
      return;
    }
    for (const payload of payloads.value) {
      const message = this.#decode(payload);
      if (message.isErr()) {
        this.close(`Received an invalid message: ${message.error[0]?.message}`);
        return;
      }
      this.#handleMessage(message.value);
    }
  }

  #decode(payload: Buffer): ReturnType<typeof codec.decode> {
    const decode = () => codec.decode(payload);
    return this.#owner.profile?.measure("decoding", decode) ?? decode();
  }

  #handleMessage(message: Message): void {
    this.#owner.onReceived?.(message.type);
    if (message.type === "heartbeat") this.#handleHeartbeat(message);
    this.#received.push(message);
  }

  #handleHeartbeat({ nextMs, busy }: Heartbeat): void {
    this.#peerIntervalMs = Math.min(nextMs, IDLE_HEARTBEAT_MS);
    this.#peerBusy = busy;
  }

  /** Requests in flight at either end make both send frequent heartbeats. */
  get #heartbeatIntervalMs(): number {
    const busy = this.#busy || this.#peerBusy;
    return busy ? BUSY_HEARTBEAT_MS : this.#idleHeartbeatMs;
  }

  /**
   * Returns how long the peer has been silent, and for how long it may be.
   * While this end is busy, the peer must send frequent heartbeats; its silence
   * before this end became busy doesn't count then.
   */
  #silence(nowMs: number): { readonly ms: number; readonly limitMs: number } {
    if (!this.#busy) {
      const limitMs = this.#peerIntervalMs * MISSED_HEARTBEATS;
      return { ms: nowMs - this.#lastReceivedMs, limitMs };
    }
    const sinceMs = Math.max(this.#lastReceivedMs, this.#busySinceMs);
    const limitMs = BUSY_HEARTBEAT_MS * MISSED_HEARTBEATS + CHECK_INTERVAL_MS;
    return { ms: nowMs - sinceMs, limitMs };
  }

  #check(): void {
    const nowMs = this.#owner.clock.monotonicMs();
    const lateMs = nowMs - this.#lastCheckMs - CHECK_INTERVAL_MS;
    this.#lastCheckMs = nowMs;
    // After a pause of this process, data that the peer sent is still unread.
    if (lateMs > PROCESS_PAUSE_MS) this.#lastReceivedMs = nowMs;
    const { ms: silentMs, limitMs } = this.#silence(nowMs);
    if (silentMs > limitMs) {
      this.close(
        `Received nothing from the peer for ${Math.round(silentMs)} ms`,
      );
      return;
    }
    const intervalMs = this.#heartbeatIntervalMs;
    // Any message proves that this process is alive, so a heartbeat is due only
    // after a pause. The peer relies on the last announced interval, even when
    // the current one is longer.
    const dueMs = Math.min(intervalMs, this.#announcedMs);
    const due = nowMs - this.#lastSentMs + CHECK_INTERVAL_MS > dueMs;
    const busyChanged = this.#busy !== this.#announcedBusy;
    if (due || busyChanged || intervalMs < this.#announcedMs)
      this.sendHeartbeat();
  }
}
