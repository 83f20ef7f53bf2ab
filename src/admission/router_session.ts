/** One router's connection to the gate of an engine. */

import type { Message, ServerReport, Strike } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { Router } from "./ask_lines.ts";
import type { Gate } from "./gate.ts";

/** Serves one router until its connection closes. */
export class RouterSession implements Router {
  readonly #connection: Connection;
  readonly #gate: Gate;
  readonly #struck: (strike: Strike) => void;

  constructor(
    connection: Connection,
    gate: Gate,
    { struck }: { readonly struck: (strike: Strike) => void },
  ) {
    this.#connection = connection;
    this.#gate = gate;
    this.#struck = struck;
  }

  /** Serves the connection until it closes. */
  async serve(): Promise<void> {
    // Routers notice the loss of a gate as fast as they notice one another's.
    this.#connection.setBusy(true);
    for await (const message of this.#connection.messages) this.#take(message);
    this.#gate.drop(this);
  }

  /** Lets the router send a request. */
  permit(ask: number, uncachedTokens: number): void {
    this.#connection.send({ type: "permit", ask, uncachedTokens });
  }

  /** Tells the router what the engine has to do. */
  report(report: ServerReport): void {
    this.#connection.send(report);
  }

  /** Tells the router of a crash. */
  strike(strike: Strike): void {
    this.#connection.send(strike);
  }

  #take(message: Message): void {
    switch (message.type) {
      case "engine-terms":
        this.#gate.configure(message);
        return;
      case "ask":
        this.#gate.ask(this, message);
        return;
      case "held":
        this.#gate.hold(this, message);
        return;
      case "withdraw":
        this.#gate.withdraw(this, message.ask);
        return;
      case "begun":
        this.#gate.begun(this, message.ask);
        return;
      case "finished":
        this.#gate.finish(this, message.ask, message.outcome);
        return;
      case "strike":
        this.#struck(message);
        return;
      case "heartbeat":
        return;
      default:
        this.#connection.close(`Router sent ${message.type}`);
    }
  }
}
