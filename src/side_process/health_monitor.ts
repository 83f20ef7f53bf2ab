/** Checks the health of the backend server at intervals. */

import { logger } from "../common/log.ts";
import { sleep } from "../common/promises.ts";
import type { BackendClient } from "./backend_client.ts";

const log = logger("side-process");

const CHECK_INTERVAL_MS = 250;
/** Consecutive failed checks after which the server counts as down. */
const FAILURES_UNTIL_DOWN = 2;

/** Notified when the server's state changes. */
export interface HealthListener {
  up(): void;
  down(): void;
  /** The server has restarted, and its earlier requests are lost. */
  restarted(): void;
}

/** Monitors one backend server. */
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

  /** Whether the server counts as up. */
  get isUp(): boolean {
    return this.#up;
  }

  /** Checks the server repeatedly until `close`. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const health = await this.#backend.health();
      if (health === null) this.#recordFailure();
      else this.#recordSuccess(health.incarnation);
      await sleep(CHECK_INTERVAL_MS, this.#stop.signal);
    }
  }

  /** Incarnation in the last successful check; empty before the first. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /**
   * Checks the server now; returns whether an incarnation of it has ended. The
   * new state applies at once, because a request that starts before the next
   * regular check must not be attributed to the ended incarnation.
   */
  async hasCrashed(incarnation: string): Promise<boolean> {
    if (incarnation !== this.#incarnation) return true;
    const health = await this.#backend.health();
    if (health === null) {
      this.#markDown();
      return true;
    }
    this.#recordSuccess(health.incarnation);
    return health.incarnation !== incarnation;
  }

  /** Ends `run`. */
  close(): void {
    this.#stop.abort();
  }

  #recordSuccess(incarnation: string): void {
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

  #recordFailure(): void {
    this.#failures += 1;
    if (this.#failures >= FAILURES_UNTIL_DOWN) this.#markDown();
  }

  #markDown(): void {
    if (!this.#up) return;
    this.#up = false;
    log.warn("Backend server does not respond");
    this.#listener.down();
  }
}
