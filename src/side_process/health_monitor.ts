/** Follows the health of the backend server, on connections of its own. */

import { logger } from "../common/log.ts";
import { sleep } from "../common/signal.ts";
import type { BackendClient } from "./backend_client.ts";

const log = logger("side-process");

const CHECK_MS = 250;
/** Failed checks in a row after which the server counts as down. */
const FAILURES = 2;

/** Called when the server's state changes. */
export interface HealthListener {
  up(): void;
  down(): void;
  /** The server came back without memory of its requests. */
  restarted(): void;
}

/** The task that checks one backend server. */
export class HealthMonitor {
  readonly #backend: BackendClient;
  readonly #listener: HealthListener;
  readonly #stop = new AbortController();
  #up = false;
  #failures = 0;
  #incarnation = "";

  constructor(backend: BackendClient, listener: HealthListener) {
    this.#backend = backend;
    this.#listener = listener;
  }

  /** Whether the server answers. */
  get isUp(): boolean {
    return this.#up;
  }

  /** Checks until `close`. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const health = await this.#backend.health();
      if (health === null) this.#fail();
      else this.#succeed(health.incarnation);
      await sleep(CHECK_MS, this.#stop.signal);
    }
  }

  /** Incarnation of the server as last seen. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /**
   * Asks now whether the server of an incarnation has ended. What the answer
   * shows counts at once: a request that starts before the next check must
   * not be taken for one of the incarnation that has ended.
   */
  async hasCrashed(incarnation: string): Promise<boolean> {
    if (incarnation !== this.#incarnation) return true;
    const health = await this.#backend.health();
    if (health === null) {
      this.#lose();
      return true;
    }
    this.#succeed(health.incarnation);
    return health.incarnation !== incarnation;
  }

  /** Ends `run`. */
  close(): void {
    this.#stop.abort();
  }

  #succeed(incarnation: string): void {
    this.#failures = 0;
    const restarted =
      this.#incarnation !== "" && this.#incarnation !== incarnation;
    this.#incarnation = incarnation;
    if (restarted) {
      log.warn("Backend server has restarted");
      this.#listener.restarted();
    }
    if (this.#up) return;
    this.#up = true;
    log.info("Backend server is up");
    this.#listener.up();
  }

  #fail(): void {
    this.#failures += 1;
    if (this.#failures >= FAILURES) this.#lose();
  }

  #lose(): void {
    if (!this.#up) return;
    this.#up = false;
    log.warn("Backend server does not answer");
    this.#listener.down();
  }
}
