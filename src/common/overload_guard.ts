/** Keeps an HTTP server responsive while it gets more requests than it can serve. */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { AcceptQueue, type QueueReport } from "./accept_queue.ts";
import type { Clock } from "./clock.ts";
import { ConcurrencyLimit, MAX_WAIT_MS } from "./concurrency_limit.ts";
import { ConnectionShedder } from "./connection_shedder.ts";

/** What to do with a request; `left`: its caller has disconnected. */
export type Verdict = "serve" | "refuse" | "left";

/** What a decision depends on; both are called when it is made. */
export interface ArrivedRequest {
  isDisconnected(): boolean;
  /** Whether its team has got less than its share. */
  isBelowShare(): boolean;
}

/** Decides for each request of one server whether it is served. */
export class OverloadGuard {
  readonly #queue: AcceptQueue;
  readonly #limit: ConcurrencyLimit;
  readonly #shedder: ConnectionShedder;
  #shedConnections = 0;

  /** Calls `onReport` with what is observed about the queue of connections. */
  constructor(
    server: Server,
    deps: {
      readonly clock: Clock;
      /** Length of the queue of connections that wait to be accepted. */
      readonly backlog: number;
      readonly onReport: (report: QueueReport) => void;
    },
  ) {
    this.#queue = new AcceptQueue(server, deps);
    this.#limit = new ConcurrencyLimit(deps.clock, deps);
    this.#shedder = new ConnectionShedder(this.#queue);
    this.#shedConnectionsOf(server);
  }

  /** Connections closed unread so far. */
  get shedConnections(): number {
    return this.#shedConnections;
  }

  /** Whether the load balancer should send callers here. */
  get isReady(): boolean {
    return this.#limit.isReady;
  }

  /** Time for which connections have been waiting to be accepted, in ms. */
  get standingQueueMs(): number {
    return this.#queue.standingMs;
  }

  /** Requests that may be in progress; infinite until the first overload. */
  get limit(): number {
    return this.#limit.value;
  }

  /** Decides on a request that has arrived. Call `release` if it is served. */
  async judge(request: ArrivedRequest): Promise<Verdict> {
    const { standingMs, accepted } = this.#queue;
    this.#limit.observe({ standingMs, accepted });
    if (standingMs >= MAX_WAIT_MS) {
      // The next turn of the event loop reads whether the caller left the queue
      // before it was accepted; no work is to be done for it then.
      await nextTurn();
      await nextTurn();
    }
    if (request.isDisconnected()) return "left";
    const isAdmitted = this.#limit.acquire(() => request.isBelowShare());
    return isAdmitted ? "serve" : "refuse";
  }

  /** Tells that a request which was served has ended. */
  release(): void {
    this.#limit.release();
  }

  /** Closes connections before the server's own listener reads from them. */
  #shedConnectionsOf(server: Server): void {
    const [serve] = server.listeners("connection");
    if (serve === undefined) throw new Error("Server takes no connections");
    server.off("connection", serve as (socket: Socket) => void);
    server.on("connection", (socket) => {
      if (!this.#shedder.shouldClose()) {
        serve.call(server, socket);
        return;
      }
      this.#shedConnections += 1;
      socket.destroy();
    });
  }
}
