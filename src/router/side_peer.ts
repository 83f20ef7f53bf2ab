/** A side process as one router sees it, over all its connections. */

import type { Clock } from "../common/clock.ts";
import { logger } from "../common/log.ts";
import type { ConfigurationSpread } from "../configuration/mod.ts";
import type { Instance } from "../platform/mod.ts";
import type { Grant, Message, Refused, Run } from "../protocol/mod.ts";
import {
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
} from "../transport/mod.ts";
import { Attempt } from "./attempt.ts";
import { DeliveryBatch } from "./delivery_batch.ts";

const log = logger("router");

/** How long attempts wait for a new connection before they are lost. */
const RESUME_MS = 5_000;
/** The same for attempts that can as well run at another one. */
const MOVE_MS = 500;
/** Attempts to cancel once the side process can be reached again. */
const CANCELS_LIMIT = 10_000;

/** What a peer tells its router. */
export interface PeerListener {
  granted(peer: SidePeer, grant: Grant): void;
  connected(peer: SidePeer): void;
  disconnected(peer: SidePeer): void;
  /** Whether another side process of the service can be sent work. */
  hasAlternative(peer: SidePeer): boolean;
}

/** What a peer shares with the rest of the process. */
export interface SidePeerParts {
  readonly clock: Clock;
  readonly configurationSpread: ConfigurationSpread;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  readonly listener: PeerListener;
}

/** Sends runs, routes answers, resumes on new connections. */
export class SidePeer {
  readonly instance: Instance;
  readonly #parts: SidePeerParts;
  readonly #dialer: Dialer;
  readonly #attempts = new Map<string, Attempt>();
  #connection: Connection | null = null;
  #incarnation = "";
  #cancels: string[] = [];
  readonly #deliveries = new DeliveryBatch((message) => this.send(message));
  #moveTimer: NodeJS.Timeout | null = null;
  #lossTimer: NodeJS.Timeout | null = null;
  #saysLeaving = false;
  #listedLeaving = false;
  #awaited = false;
  #free = 0;
  #slots = 1;

  constructor(instance: Instance, parts: SidePeerParts) {
    this.instance = instance;
    this.#parts = parts;
    this.#dialer = new Dialer(parts.credentials, parts.owner, {
      serve: (connection) => this.#serve(connection),
    });
  }

  /** Whether it can be sent new work. */
  get usable(): boolean {
    const leaving = this.#saysLeaving || this.#listedLeaving;
    return this.#connection !== null && !leaving;
  }

  /** Share of its slots that is thought free, from 0 to 1. */
  get freeShare(): number {
    return this.usable ? this.#free / this.#slots : 0;
  }

  /** Attempts that have not ended. */
  get inProgress(): number {
    return this.#attempts.size;
  }

  /** Keeps a connection until `close`. */
  async run(): Promise<void> {
    const { host, port } = this.instance;
    await this.#dialer.run({ host, port });
  }

  /** Ends the connection for good; what is in progress is lost. */
  close(): void {
    this.#dialer.close();
    this.#loseAll(`Side process ${this.instance.name} has gone`);
  }

  /** Notes what the instance list says. */
  setListedLeaving(leaving: boolean): void {
    this.#listedLeaving = leaving;
  }

  /** Notes whether requests wait for it; a silent peer is found then. */
  setAwaited(awaited: boolean): void {
    this.#awaited = awaited;
    this.#setBusy();
  }

  /** Sends a message if connected. */
  send(message: Message): void {
    this.#connection?.send(message);
  }

  /** Announces the configuration version. */
  announce(): void {
    this.#connection?.announce();
  }

  /** Hands a request over and returns the attempt. */
  start(run: Run): Attempt {
    const attempt = new Attempt(run, this.#incarnation);
    this.#attempts.set(run.attempt, attempt);
    this.#free = Math.max(0, this.#free - 1);
    this.send(run);
    this.#setBusy();
    if (this.#connection === null) attempt.receive(notSent(run));
    return attempt;
  }

  /** Forgets an attempt that has ended. */
  finish({ run }: Attempt): void {
    this.#attempts.delete(run.attempt);
    this.#setBusy();
  }

  /** Tells, together with others, that a whole answer has arrived. */
  delivered({ run }: Attempt): void {
    this.#deliveries.add(run.attempt);
  }

  /** Cancels an attempt, now or when the peer can be reached again. */
  cancel({ run }: Attempt): void {
    this.#attempts.delete(run.attempt);
    if (this.#connection !== null) {
      this.send({ type: "cancel", attempt: run.attempt });
    } else if (this.#cancels.length < CANCELS_LIMIT) {
      this.#cancels.push(run.attempt);
    }
  }

  async #serve(connection: Connection): Promise<void> {
    const { configurationSpread } = this.#parts;
    this.#connect(connection);
    for await (const message of connection.messages) {
      if (configurationSpread.handle(connection, message)) continue;
      this.#handle(message);
    }
    this.#disconnect(connection);
  }

  #connect(connection: Connection): void {
    this.#stopTimers();
    this.#connection = connection;
    this.#saysLeaving = false;
    this.#free = 0;
    this.#incarnation = connection.peer.incarnation;
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.incarnation === this.#incarnation) this.#resume(attempt);
      else attempt.lose(`Side process ${this.instance.name} has restarted`);
    }
    for (const attempt of this.#cancels) this.send({ type: "cancel", attempt });
    this.#cancels = [];
    this.#setBusy();
    this.#parts.listener.connected(this);
  }

  #resume({ run, offset, hasHead: head }: Attempt): void {
    const { attempt } = run;
    this.send({ type: "resume", attempt, offset, head });
  }

  #disconnect(connection: Connection): void {
    if (this.#connection !== connection) return;
    this.#connection = null;
    this.#free = 0;
    this.#parts.listener.disconnected(this);
    this.#startTimers();
  }

  #setBusy(): void {
    this.#connection?.setBusy(this.#awaited || this.#attempts.size > 0);
  }

  #startTimers(): void {
    this.#stopTimers();
    this.#moveTimer = setTimeout(() => this.#moveAttempts(), MOVE_MS);
    this.#lossTimer = setTimeout(
      () => this.#loseAll(this.#silentFor(RESUME_MS)),
      RESUME_MS,
    );
  }

  #stopTimers(): void {
    if (this.#moveTimer !== null) clearTimeout(this.#moveTimer);
    if (this.#lossTimer !== null) clearTimeout(this.#lossTimer);
    this.#moveTimer = null;
    this.#lossTimer = null;
  }

  /** Frees attempts that need not wait here to run elsewhere. */
  #moveAttempts(): void {
    if (!this.#parts.listener.hasAlternative(this)) return;
    for (const attempt of this.#attempts.values()) {
      if (attempt.movable) attempt.lose(this.#silentFor(MOVE_MS));
    }
  }

  #loseAll(sentence: string): void {
    for (const attempt of this.#attempts.values()) attempt.lose(sentence);
  }

  #silentFor(ms: number): string {
    const { name } = this.instance;
    return `Side process ${name} could not be reached for ${ms} ms`;
  }

  #handle(message: Message): void {
    switch (message.type) {
      case "grant":
        this.#parts.listener.granted(this, message);
        return;
      case "availability":
        this.#free = message.free;
        this.#slots = Math.max(1, message.slots);
        return;
      case "leaving":
        this.#saysLeaving = true;
        return;
      case "refused":
        if (message.code === "busy") this.#free = 0;
        this.#attempts.get(message.attempt)?.receive(message);
        return;
      case "end":
        this.#free = Math.min(this.#slots, this.#free + 1);
        this.#attempts.get(message.attempt)?.receive(message);
        return;
      case "head":
      case "data":
      case "failed":
        this.#attempts.get(message.attempt)?.receive(message);
        return;
      default:
        log.warn(`Ignored ${message.type} of ${this.instance.name}`);
    }
  }
}

/** Nothing was sent: the attempt can't have run. */
function notSent({ attempt }: Run): Refused {
  return { type: "refused", attempt, code: "unknown-attempt", retryAfterMs: 0 };
}
