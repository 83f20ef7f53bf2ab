/** One send of a request to one server, over a connection of the pool. */

import { setImmediate as nextTurn } from "node:timers/promises";
import type { Outcome, Placement } from "../scheduling/mod.ts";
import type {
  BackendConnection,
  BackendRequest,
  ConnectionFailure,
} from "./backend_connection.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { Relay, SendResult } from "./relay.ts";

/** How a send to one server ended. */
export type SendEnd =
  | SendResult
  /** No connection could be opened. */
  | { readonly type: "unreachable"; readonly failure: ConnectionFailure }
  /** Cancelled before anything was sent. */
  | { readonly type: "unsent" }
  /** The server stopped taking requests before anything was sent. */
  | { readonly type: "withdrawn" };

/** What is sent, and how the response is relayed. */
export interface ServerSendOptions {
  readonly pool: ConnectionPool;
  readonly placement: Placement;
  /**
   * Whether the request has an id. The response to one without is only taken
   * from a connection that has carried no other.
   */
  readonly isNamed: boolean;
  /** Aborted when the caller disconnects or its deadline passes. */
  readonly cancelSignal: AbortSignal;
  /** Whether the caller has disconnected, even if the signal hasn't fired. */
  readonly isCancelled: () => boolean;
  /** Called once, just before the request is sent. */
  readonly request: () => BackendRequest;
  readonly createRelay: (connection: BackendConnection) => Relay;
}

/** Starts on construction; `ended` resolves with its end and never rejects. */
export class ServerSend {
  readonly placement: Placement;
  readonly ended: Promise<SendEnd>;
  readonly #options: ServerSendOptions;
  #relay: Relay | null = null;
  #abandonedAs: Outcome | null = null;

  constructor(options: ServerSendOptions) {
    this.#options = options;
    this.placement = options.placement;
    this.ended = this.#run();
  }

  /**
   * Cancels the send.
   *
   * @param outcome what the send has shown about its server
   */
  abandon(outcome: Outcome): void {
    this.#abandonedAs ??= outcome;
    this.#relay?.abandon();
  }

  /** Waits for another silence before it reports one again. */
  restartSilenceTimer(): void {
    this.#relay?.restartSilenceTimer();
  }

  async #run(): Promise<SendEnd> {
    const { pool, placement, isNamed } = this.#options;
    const { server } = placement;
    const acquired = await (isNamed ? pool.acquire(server) : pool.open(server));
    // After a stall of the event loop, the caller's disconnect may be read in
    // the same turn: let it be handled first, so that nothing is sent for it.
    await nextTurn();
    if (acquired.isErr()) {
      placement.release("unreachable");
      return { type: "unreachable", failure: acquired.error };
    }
    const { connection } = acquired.value;
    let outcome: Outcome = "neutral";
    try {
      const end = await this.#relayOver(connection);
      outcome = this.#abandonedAs ?? outcomeOf(end);
      return end;
    } finally {
      pool.release(server, connection);
      placement.release(outcome);
    }
  }

  async #relayOver(connection: BackendConnection): Promise<SendEnd> {
    const { cancelSignal, isCancelled, request, createRelay } = this.#options;
    if (this.#abandonedAs !== null || cancelSignal.aborted || isCancelled()) {
      return { type: "unsent" };
    }
    if (!this.placement.isOpen()) return { type: "withdrawn" };
    const sent = request();
    this.#relay = createRelay(connection);
    return await this.#relay.run(sent, cancelSignal);
  }
}

function outcomeOf(end: SendEnd): Outcome {
  switch (end.type) {
    case "complete":
      return end.status >= 500 ? "failed" : "served";
    case "failed":
    case "broken":
      return "failed";
    case "not-run":
      return "shed";
    case "unreachable":
      return "unreachable";
    case "aborted":
    case "abandoned":
    case "unsent":
    case "withdrawn":
      return "neutral";
    default:
      return end satisfies never;
  }
}
