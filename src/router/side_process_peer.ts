/** The router's end of its connections to one side process. */

import type { Clock } from "../common/clock.ts";
import { logger } from "../common/log.ts";
import type { ConfigurationPeerSync } from "../configuration/mod.ts";
import type { Instance } from "../platform/mod.ts";
import type {
  AttemptRefusal,
  Grant,
  Message,
  RunRequest,
} from "../protocol/mod.ts";
import {
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
} from "../transport/mod.ts";
import { Attempt } from "./attempt.ts";
import { DeliveryBatch } from "./delivery_batch.ts";

const log = logger("router");

/** Time that attempts wait for a new connection before they are lost. */
const RESUME_TIMEOUT_MS = 5_000;
/** The same, for attempts that can run again at another side process. */
const FAILOVER_MS = 500;
/** Limit of cancellations stored while the side process is unreachable. */
const MAX_PENDING_CANCELS = 10_000;

/** Callbacks from a peer to its router. */
export interface PeerListener {
  /** A grant permits the router to send the peer one request of a team. */
  onGrant(peer: SideProcessPeer, grant: Grant): void;
  onConnected(peer: SideProcessPeer): void;
  onDisconnected(peer: SideProcessPeer): void;
  /** Whether another side process of the service can be sent work. */
  hasAlternative(peer: SideProcessPeer): boolean;
}

/** Dependencies of a peer. */
export interface SideProcessPeerDependencies {
  readonly clock: Clock;
  readonly configurationSync: ConfigurationPeerSync;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  readonly listener: PeerListener;
}

/**
 * Sends runs to a side process, passes its messages to their attempts and
 * resumes the attempts when a new connection replaces a broken one.
 */
export class SideProcessPeer {
  readonly instance: Instance;
  readonly #deps: SideProcessPeerDependencies;
  readonly #dialer: Dialer;
  readonly #attempts = new Map<string, Attempt>();
  #connection: Connection | null = null;
  #incarnation = "";
  /** Attempts to cancel after the next connect. */
  #cancels: string[] = [];
  readonly #deliveryBatch = new DeliveryBatch((message) => this.send(message));
  #failoverTimer: NodeJS.Timeout | null = null;
  #resumeTimer: NodeJS.Timeout | null = null;
  #announcedLeaving = false;
  #listedLeaving = false;
  #demandPending = false;
  #freeSlots = 0;
  #totalSlots = 1;

  constructor(instance: Instance, deps: SideProcessPeerDependencies) {
    this.instance = instance;
    this.#deps = deps;
    this.#dialer = new Dialer(deps.credentials, deps.owner, {
      serve: (connection) => this.#serve(connection),
    });
  }

  /** Whether it can be sent new work. */
  get usable(): boolean {
    const leaving = this.#announcedLeaving || this.#listedLeaving;
    return this.#connection !== null && !leaving;
  }

  /** Estimated share of its slots that is free, from 0 to 1. */
  get freeShare(): number {
    return this.usable ? this.#freeSlots / this.#totalSlots : 0;
  }

  /** Attempts that have not ended. */
  get inProgress(): number {
    return this.#attempts.size;
  }

  /** Connects, and reconnects after failures, until `close`. */
  async run(): Promise<void> {
    const { host, port } = this.instance;
    await this.#dialer.run({ host, port });
  }

  /** Closes the connection for good; attempts in progress are lost. */
  close(): void {
    this.#dialer.close();
    this.#loseAllAttempts(
      `Connection to side process ${this.instance.name} was closed`,
    );
  }

  /** Sets whether the instance list says that the side process is leaving. */
  setListedLeaving(leaving: boolean): void {
    this.#listedLeaving = leaving;
  }

  /**
   * Sets whether requests are queued for its service. Heartbeats are then as
   * frequent as during attempts, so that a dead peer is detected sooner.
   */
  setDemandPending(pending: boolean): void {
    this.#demandPending = pending;
    this.#updateBusy();
  }

  /** Sends a message; drops it if there is no connection. */
  send(message: Message): void {
    this.#connection?.send(message);
  }

  /** Announces the configuration version if connected. */
  announceConfiguration(): void {
    this.#connection?.sendHeartbeat();
  }

  /** Sends a run; the attempt is refused at once if there is no connection. */
  start(run: RunRequest): Attempt {
    const attempt = new Attempt(run, this.#incarnation);
    this.#attempts.set(run.attempt, attempt);
    this.#freeSlots = Math.max(0, this.#freeSlots - 1);
    this.send(run);
    this.#updateBusy();
    if (this.#connection === null) attempt.receive(notSentRefusal(run));
    return attempt;
  }

  /** Forgets an attempt that has ended. */
  forget({ run }: Attempt): void {
    this.#attempts.delete(run.attempt);
    this.#updateBusy();
  }

  /** Confirms, in the next batch, that a response was passed to its caller. */
  confirmDelivery({ run }: Attempt): void {
    this.#deliveryBatch.add(run.attempt);
  }

  /** Cancels an attempt, at once or after the next connect. */
  cancel({ run }: Attempt): void {
    this.#attempts.delete(run.attempt);
    if (this.#connection !== null) {
      this.send({ type: "cancel", attempt: run.attempt });
    } else if (this.#cancels.length < MAX_PENDING_CANCELS) {
      this.#cancels.push(run.attempt);
    }
  }

  async #serve(connection: Connection): Promise<void> {
    const { configurationSync } = this.#deps;
    this.#handleConnected(connection);
    for await (const message of connection.messages) {
      if (configurationSync.handle(connection, message)) continue;
      this.#handleMessage(message);
    }
    this.#handleDisconnected(connection);
  }

  #handleConnected(connection: Connection): void {
    this.#stopTimers();
    this.#connection = connection;
    this.#announcedLeaving = false;
    this.#freeSlots = 0;
    this.#incarnation = connection.peer.incarnation;
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.incarnation === this.#incarnation) this.#resume(attempt);
      else attempt.markLost(`Side process ${this.instance.name} has restarted`);
    }
    for (const attempt of this.#cancels) this.send({ type: "cancel", attempt });
    this.#cancels = [];
    this.#updateBusy();
    this.#deps.listener.onConnected(this);
  }

  #resume({ run, offset, hasHead: head }: Attempt): void {
    const { attempt } = run;
    this.send({ type: "resume", attempt, offset, head });
  }

  #handleDisconnected(connection: Connection): void {
    if (this.#connection !== connection) return;
    this.#connection = null;
    this.#freeSlots = 0;
    this.#deps.listener.onDisconnected(this);
    this.#startTimers();
  }

  /** Sets the pace of heartbeats. */
  #updateBusy(): void {
    this.#connection?.setBusy(this.#demandPending || this.#attempts.size > 0);
  }

  #startTimers(): void {
    this.#stopTimers();
    this.#failoverTimer = setTimeout(
      () => this.#failOverAttempts(),
      FAILOVER_MS,
    );
    this.#resumeTimer = setTimeout(
      () => this.#loseAllAttempts(this.#unreachable(RESUME_TIMEOUT_MS)),
      RESUME_TIMEOUT_MS,
    );
  }

  #stopTimers(): void {
    if (this.#failoverTimer !== null) clearTimeout(this.#failoverTimer);
    if (this.#resumeTimer !== null) clearTimeout(this.#resumeTimer);
    this.#failoverTimer = null;
    this.#resumeTimer = null;
  }

  /** Marks attempts as lost that can run again at another side process. */
  #failOverAttempts(): void {
    if (!this.#deps.listener.hasAlternative(this)) return;
    for (const attempt of this.#attempts.values()) {
      if (attempt.canFailOver) attempt.markLost(this.#unreachable(FAILOVER_MS));
    }
  }

  #loseAllAttempts(sentence: string): void {
    for (const attempt of this.#attempts.values()) attempt.markLost(sentence);
  }

  #unreachable(ms: number): string {
    const { name } = this.instance;
    return `Side process ${name} could not be reached for ${ms} ms`;
  }

  #handleMessage(message: Message): void {
    switch (message.type) {
      case "grant":
        this.#deps.listener.onGrant(this, message);
        return;
      case "availability":
        this.#freeSlots = message.free;
        this.#totalSlots = Math.max(1, message.slots);
        return;
      case "leaving":
        this.#announcedLeaving = true;
        return;
      case "refused":
        if (message.code === "busy") this.#freeSlots = 0;
        this.#attempts.get(message.attempt)?.receive(message);
        return;
      case "end":
        this.#freeSlots = Math.min(this.#totalSlots, this.#freeSlots + 1);
        this.#attempts.get(message.attempt)?.receive(message);
        return;
      case "head":
      case "data":
      case "failed":
        this.#attempts.get(message.attempt)?.receive(message);
        return;
      default:
        log.warn(`Ignored message ${message.type} of ${this.instance.name}`);
    }
  }
}

/** Refusal for a run that was not sent, so that it can't have run. */
function notSentRefusal({ attempt }: RunRequest): AttemptRefusal {
  return { type: "refused", attempt, code: "unknown-attempt", retryAfterMs: 0 };
}
