/** The task of one connection with a router. */

import { logger } from "../common/log.ts";
import { type ActiveConfiguration, spread } from "../configuration/mod.ts";
import type { Message, Resume, Run } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { Attempts } from "./attempts.ts";
import type { Dispatcher, GrantReceiver } from "./dispatcher.ts";
import type { Runner } from "./runner.ts";

const log = logger("side-process");

/** What a session shares with the rest of the process. */
export interface RouterSessionParts {
  readonly active: ActiveConfiguration;
  readonly attempts: Attempts;
  readonly dispatcher: Dispatcher;
  readonly runner: Runner;
}

/** Serves one router over one connection. */
export class RouterSession implements GrantReceiver {
  readonly #parts: RouterSessionParts;
  readonly #connection: Connection;

  constructor(connection: Connection, parts: RouterSessionParts) {
    this.#connection = connection;
    this.#parts = parts;
  }

  /** Name and incarnation of the router. */
  get router(): string {
    const { instance, incarnation } = this.#connection.peer;
    return `${instance}/${incarnation}`;
  }

  /** Serves until the connection closes. */
  async serve(): Promise<void> {
    const { active, attempts, dispatcher } = this.#parts;
    attempts.cancelOthers(this.#connection.peer.instance, this.router);
    dispatcher.welcome(this);
    for await (const message of this.#connection.messages) {
      if (spread.handle(active, this.#connection, message)) continue;
      this.#handle(message);
    }
    dispatcher.drop(this);
    attempts.detach(this);
  }

  /** Tells the router that no new work is taken. */
  sendLeaving(): void {
    this.#connection.send({ type: "leaving" });
  }

  sendGrant(grant: number, team: string, expiresMs: number): void {
    this.#connection.send({ type: "grant", grant, team, expiresMs });
  }

  sendAvailability(free: number, slots: number): void {
    this.#connection.send({ type: "availability", free, slots });
  }

  /** Sends a part of an answer. */
  send(message: Message): void {
    this.#connection.send(message);
    if (message.type === "end" || message.type === "failed") this.#setBusy();
  }

  #handle(message: Message): void {
    const { dispatcher, attempts } = this.#parts;
    switch (message.type) {
      case "demand": {
        const { team, count, oldestAgeMs: ageMs } = message;
        dispatcher.setDemand(this, team, { count, ageMs });
        return;
      }
      case "grant-unused":
        dispatcher.returnGrant(this, message);
        return;
      case "run":
        this.#run(message);
        return;
      case "resume":
        this.#resume(message);
        return;
      case "acknowledge":
        attempts.get(message.attempt)?.buffer.acknowledge(message.offset);
        this.#setBusy();
        return;
      case "cancel":
        this.#cancel(message.attempt);
        return;
      default:
        log.warn(`Ignored ${message.type} of router ${this.router}`);
    }
  }

  #run(run: Run): void {
    const { attempts, runner } = this.#parts;
    if (attempts.get(run.attempt) !== null) return;
    const earlier = attempts.refusal(run.attempt);
    const refused = earlier ?? runner.refusal(this, run);
    if (refused !== null) {
      this.send(refused);
      return;
    }
    this.#connection.setBusy(true);
  }

  #resume(message: Resume): void {
    const { attempts } = this.#parts;
    const attempt = attempts.get(message.attempt);
    if (attempt === null) {
      const refused =
        attempts.refusal(message.attempt) ??
        attempts.refuse(message.attempt, "unknown-attempt", 0);
      this.send(refused);
      return;
    }
    attempts.adopt(message.attempt);
    attempt.resume(this, message);
    this.#setBusy();
  }

  /** An attempt that has not arrived yet must not start when it does. */
  #cancel(name: string): void {
    const { attempts } = this.#parts;
    const attempt = attempts.get(name);
    if (attempt === null) attempts.refuse(name, "unknown-attempt", 0);
    else attempt.cancel("Caller has gone");
    this.#setBusy();
  }

  #setBusy(): void {
    this.#connection.setBusy(this.#parts.attempts.isBusy(this));
  }
}
