/** One connection with a router. */

import { logger } from "../common/log.ts";
import type { ConfigurationPeerSync } from "../configuration/mod.ts";
import type { Message, ResumeRequest, RunRequest } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { AttemptRegistry } from "./attempt_registry.ts";
import type { Dispatcher, GrantReceiver } from "./dispatcher.ts";
import type { Runner } from "./runner.ts";

const log = logger("side-process");

/** Dependencies of a router session. */
export interface RouterSessionDependencies {
  readonly configurationSync: ConfigurationPeerSync;
  readonly attempts: AttemptRegistry;
  readonly dispatcher: Dispatcher;
  readonly runner: Runner;
}

/** Handles the messages of one router, and sends it grants and responses. */
export class RouterSession implements GrantReceiver {
  readonly #deps: RouterSessionDependencies;
  readonly #connection: Connection;
  /** Names of attempts whose responses this router waits for. */
  readonly #awaited = new Set<string>();

  constructor(connection: Connection, deps: RouterSessionDependencies) {
    this.#connection = connection;
    this.#deps = deps;
  }

  /** The router, as `instance/incarnation`. */
  get router(): string {
    const { instance, incarnation } = this.#connection.peer;
    return `${instance}/${incarnation}`;
  }

  /** Handles messages until the connection closes. */
  async serve(): Promise<void> {
    const { configurationSync, attempts, dispatcher } = this.#deps;
    attempts.cancelEarlierIncarnations(
      this.#connection.peer.instance,
      this.router,
    );
    dispatcher.sendAvailability(this);
    for await (const message of this.#connection.messages) {
      if (configurationSync.handle(this.#connection, message)) continue;
      this.#handle(message);
    }
    dispatcher.removeRouter(this);
    attempts.detach(this);
  }

  /** Notifies the router that no new runs are accepted. */
  sendLeaving(): void {
    this.#connection.send({ type: "leaving" });
  }

  sendGrant(grant: number, team: string): void {
    this.#connection.send({ type: "grant", grant, team });
  }

  sendAvailability(free: number, slots: number): void {
    this.#connection.send({ type: "availability", free, slots });
  }

  /** Sends a message about an attempt, under the router's name for it. */
  send(message: Message): void {
    const named =
      "attempt" in message
        ? { ...message, attempt: this.#unqualify(message.attempt) }
        : message;
    this.#connection.send(named);
    if (message.type === "failed" || message.type === "refused") {
      this.#removeAwaited(message.attempt);
    }
  }

  #handle(message: Message): void {
    const { dispatcher, attempts } = this.#deps;
    switch (message.type) {
      case "demand":
        dispatcher.setDemand(this, message.teams);
        return;
      case "grant-unused":
        dispatcher.returnGrant(this, message);
        return;
      case "run":
        this.#run({ ...message, attempt: this.#qualify(message.attempt) });
        return;
      case "resume":
        this.#resume({ ...message, attempt: this.#qualify(message.attempt) });
        return;
      case "acknowledge": {
        const attempt = attempts.get(this.#qualify(message.attempt));
        attempt?.buffer.acknowledge(message.offset);
        return;
      }
      case "delivered":
        for (const name of message.attempts) {
          attempts.markDelivered(this.#qualify(name));
          this.#removeAwaited(this.#qualify(name));
        }
        return;
      case "cancel":
        this.#cancel(this.#qualify(message.attempt));
        return;
      default:
        log.warn(`Ignored ${message.type} message from router ${this.router}`);
    }
  }

  #run(run: RunRequest): void {
    const { attempts, runner } = this.#deps;
    if (attempts.hasStarted(run.attempt)) return;
    const earlier = attempts.refusal(run.attempt);
    this.#await(run.attempt);
    const refused = earlier ?? runner.startOrRefuse(this, run);
    if (refused !== null) this.send(refused);
  }

  #resume(message: ResumeRequest): void {
    const { attempts } = this.#deps;
    const attempt = attempts.get(message.attempt);
    if (attempt === null && attempts.hasStarted(message.attempt)) {
      this.send(responseDropped(message.attempt));
      return;
    }
    if (attempt === null) {
      const refused =
        attempts.refusal(message.attempt) ??
        attempts.refuse(message.attempt, "unknown-attempt", 0);
      this.send(refused);
      return;
    }
    attempts.reattach(message.attempt);
    this.#await(message.attempt);
    attempt.resume(this, message);
  }

  /**
   * Cancels an attempt. If its run message has not arrived yet, a recorded
   * refusal keeps the attempt from starting when it does.
   */
  #cancel(name: string): void {
    const { attempts } = this.#deps;
    const attempt = attempts.get(name);
    if (attempt === null) attempts.refuse(name, "unknown-attempt", 0);
    else attempt.cancel("Router cancelled the attempt");
    this.#removeAwaited(name);
  }

  /** Prefixes the router's incarnation: routers may use the same names. */
  #qualify(attempt: string): string {
    return `${this.#connection.peer.incarnation}-${attempt}`;
  }

  #unqualify(attempt: string): string {
    return attempt.slice(this.#connection.peer.incarnation.length + 1);
  }

  /** Marks the connection as busy until the attempt's response is delivered. */
  #await(name: string): void {
    this.#awaited.add(name);
    this.#connection.setBusy(true);
  }

  #removeAwaited(name: string): void {
    this.#awaited.delete(name);
    this.#connection.setBusy(this.#awaited.size > 0);
  }
}

/** Failure for a resume of an attempt whose response was delivered in full. */
function responseDropped(attempt: string): Message {
  return {
    type: "failed",
    attempt,
    outcome: "ran",
    code: "answer-dropped",
    sentence: "The response was already delivered and is no longer stored",
    retryAfterMs: 0,
  };
}
