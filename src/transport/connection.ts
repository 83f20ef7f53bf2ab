/** One authenticated connection between two of the system's processes. */

import type { Socket } from "node:net";
import type { Clock } from "../common/clock.ts";
import { AsyncQueue } from "../common/queue.ts";
import type { Heartbeat, Message } from "../protocol/mod.ts";
import * as codec from "./codec.ts";
import { FrameDecoder } from "./frame_decoder.ts";
import type { Identity } from "./identity.ts";
import type { Traffic } from "./traffic.ts";

/** Longest frame; holds the largest body and its headers. */
const FRAME_LIMIT_BYTES = 16 * 1024 * 1024;
/** Time between heartbeats while requests are in progress. */
const BUSY_HEARTBEAT_MS = 500;
/** Time between heartbeats otherwise. */
const IDLE_HEARTBEAT_MS = 2_000;
/** Heartbeats that may be missed before a connection counts as silent. */
const MISSED_HEARTBEATS = 3;
/** A check that ran this late tells of a pause of this process. */
const PAUSE_MS = 1_000;
/** Time between two checks for silence. */
const CHECK_MS = 250;

/** What a connection needs of the process that owns it. */
export interface ConnectionOwner {
  readonly clock: Clock;
  readonly traffic: Traffic;
  /** Version that heartbeats announce. */
  configurationVersion(): number;
}

/** Frames messages, beats, and notices silence. */
export class Connection {
  readonly #socket: Socket;
  readonly #owner: ConnectionOwner;
  readonly #decoder = new FrameDecoder(FRAME_LIMIT_BYTES);
  readonly #received = new AsyncQueue<Message>();
  #peer: Identity | null = null;
  #busy = false;
  #corked = false;
  #closedBecause: string | null = null;
  #lastReceivedMs: number;
  #lastCheckMs: number;
  #lastHeartbeatMs = 0;
  /** Time to the next heartbeat that the peer was told. */
  #announcedMs = IDLE_HEARTBEAT_MS;
  #peerNextMs = IDLE_HEARTBEAT_MS;
  #timer: NodeJS.Timeout | null = null;

  constructor(socket: Socket, owner: ConnectionOwner) {
    this.#socket = socket;
    this.#owner = owner;
    this.#lastReceivedMs = owner.clock.monotonicMs();
    this.#lastCheckMs = this.#lastReceivedMs;
    socket.setNoDelay(true);
    socket.on("data", (piece) => this.#receive(piece));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("Peer closed the connection"));
  }

  /** The authenticated peer. */
  get peer(): Identity {
    if (this.#peer === null) throw new Error("Peer is not authenticated");
    return this.#peer;
  }

  /** Why the connection closed; null while it is open. */
  get closedBecause(): string | null {
    return this.#closedBecause;
  }

  /** Address of the other end, for logs. */
  get remote(): string {
    return `${this.#socket.remoteAddress}:${this.#socket.remotePort}`;
  }

  /** Messages in order, until the connection closes. */
  get messages(): AsyncIterable<Message> {
    return this.#received;
  }

  /** Starts heartbeats once the peer is authenticated. */
  start(peer: Identity): void {
    this.#peer = peer;
    this.#timer = setInterval(() => this.#check(), CHECK_MS);
    this.announce();
  }

  /** Beats faster while requests are in progress on this connection. */
  setBusy(busy: boolean): void {
    this.#busy = busy;
  }

  /** Sends a heartbeat now, with the configuration version in force. */
  announce(): void {
    this.#lastHeartbeatMs = this.#owner.clock.monotonicMs();
    this.#announcedMs = this.#busy ? BUSY_HEARTBEAT_MS : IDLE_HEARTBEAT_MS;
    this.send({
      type: "heartbeat",
      nextMs: this.#announcedMs,
      configurationVersion: this.#owner.configurationVersion(),
    });
  }

  /** Sends a message; dropped when the connection is closed. */
  send(message: Message): void {
    if (this.#closedBecause !== null) return;
    const frame = codec.encode(message);
    this.#owner.traffic.count(message, frame.length);
    this.#cork();
    this.#socket.write(frame);
  }

  /** Closes at once; the first reason is kept. */
  close(reason: string): void {
    if (this.#closedBecause !== null) return;
    this.#closedBecause = reason;
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#received.close();
    this.#socket.destroy();
  }

  /** Closes once what was sent has left the process. */
  async end(reason: string): Promise<void> {
    if (this.#closedBecause !== null) return;
    await new Promise<void>((resolve) => {
      this.#socket.once("close", () => resolve());
      this.#socket.end(() => resolve());
    });
    this.close(reason);
  }

  /** Writes of one turn of the event loop leave in one segment. */
  #cork(): void {
    if (this.#corked) return;
    this.#corked = true;
    this.#socket.cork();
    process.nextTick(() => {
      this.#corked = false;
      this.#socket.uncork();
    });
  }

  #receive(piece: Buffer): void {
    this.#lastReceivedMs = this.#owner.clock.monotonicMs();
    const payloads = this.#decoder.push(piece);
    if (payloads.isErr()) {
      this.close(`Frame of ${payloads.error.sizeBytes} bytes is too long`);
      return;
    }
    for (const payload of payloads.value) {
      const message = codec.decode(payload);
      if (message.isErr()) {
        this.close(`Message is not valid: ${message.error[0]?.message}`);
        return;
      }
      this.#accept(message.value);
    }
  }

  #accept(message: Message): void {
    if (message.type === "heartbeat") this.#acceptHeartbeat(message);
    this.#received.push(message);
  }

  #acceptHeartbeat(heartbeat: Heartbeat): void {
    this.#peerNextMs = Math.min(heartbeat.nextMs, IDLE_HEARTBEAT_MS);
  }

  #check(): void {
    const nowMs = this.#owner.clock.monotonicMs();
    const lateMs = nowMs - this.#lastCheckMs - CHECK_MS;
    this.#lastCheckMs = nowMs;
    // After a pause of this process, what the peer sent is still unread.
    if (lateMs > PAUSE_MS) this.#lastReceivedMs = nowMs;
    const silentMs = nowMs - this.#lastReceivedMs;
    if (silentMs > this.#peerNextMs * MISSED_HEARTBEATS) {
      this.close(`Peer was silent for ${Math.round(silentMs)} ms`);
      return;
    }
    const everyMs = this.#busy ? BUSY_HEARTBEAT_MS : IDLE_HEARTBEAT_MS;
    // The peer counts on the interval it was told, also when that has grown.
    const dueMs = Math.min(everyMs, this.#announcedMs);
    const due = nowMs - this.#lastHeartbeatMs + CHECK_MS > dueMs;
    if (due || everyMs < this.#announcedMs) this.announce();
  }
}
