/**
 * Detects crashes of backend servers and the requests that ran then.
 *
 * A broken response alone is no proof, because networks reset connections too.
 * It counts as a crash if the server is unreachable soon after, or if its entry
 * shows, soon before or after, that it has ended.
 */

import type { Clock } from "../common/clock.ts";
import { type BackendServer, LAPSE_MS, startKeyOf } from "../directory/mod.ts";

/**
 * A server that is unreachable within this time after a broken response counts
 * as crashed.
 */
const CRASH_WINDOW_MS = 1_000;

/** A request whose response broke off. */
export interface BrokenRequest {
  readonly fingerprint: string;
  /** Ids of the prompt parts that may have crashed the server. */
  readonly parts: readonly string[];
}

/** Unexpected end of a server, and the requests that ran there. */
export interface Crash {
  /** Identifier of the crash, the same at all routers. */
  readonly crash: string;
  /** Time since the first broken response. */
  readonly ageMs: number;
  readonly requests: readonly BrokenRequest[];
}

interface BrokenResponse {
  readonly request: BrokenRequest;
  readonly atMs: number;
}

/** Requests whose responses recently broke off, by start of a server. */
export class CrashDetector {
  readonly #clock: Clock;
  readonly #broken = new Map<string, BrokenResponse[]>();
  /** When servers ended that weren't draining, by start. */
  readonly #ended = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records a request whose response broke off. Returns the crash if the server
   * is known to have ended.
   */
  recordBroken(server: BackendServer, request: BrokenRequest): Crash | null {
    const crash = startKeyOf(server);
    const atMs = this.#clock.monotonicMs();
    if (this.#ended.has(crash)) return { crash, ageMs: 0, requests: [request] };
    this.#broken.set(crash, [
      ...this.#recent(server, LAPSE_MS),
      { request, atMs },
    ]);
    return null;
  }

  /**
   * Records that a server is unreachable. Returns the crash and the requests
   * that ran then; null if no response has recently broken off.
   */
  recordUnreachable(server: BackendServer): Crash | null {
    return this.#take(server, CRASH_WINDOW_MS);
  }

  /** Records that a server has joined the directory, perhaps again. */
  recordJoined(server: BackendServer): void {
    this.#ended.delete(startKeyOf(server));
  }

  /**
   * Records that a server has left the directory. Returns the crash and the
   * requests that ran then; null if it was draining, or if no response has
   * recently broken off.
   */
  recordLeft(server: BackendServer): Crash | null {
    const crash = this.#take(server, LAPSE_MS);
    if (server.state === "draining") return null;
    this.#recordEnd(server);
    return crash;
  }

  #recordEnd(server: BackendServer): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [start, atMs] of this.#ended) {
      if (atMs <= nowMs - LAPSE_MS) this.#ended.delete(start);
    }
    this.#ended.set(startKeyOf(server), nowMs);
  }

  /** Takes the responses that broke off within `windowMs`. */
  #take(server: BackendServer, windowMs: number): Crash | null {
    const crash = startKeyOf(server);
    const broken = this.#recent(server, windowMs);
    this.#broken.delete(crash);
    const [first] = broken;
    if (first === undefined) return null;
    const ageMs = this.#clock.monotonicMs() - first.atMs;
    return { crash, ageMs, requests: broken.map((one) => one.request) };
  }

  #recent(server: BackendServer, windowMs: number): BrokenResponse[] {
    const afterMs = this.#clock.monotonicMs() - windowMs;
    const broken = this.#broken.get(startKeyOf(server)) ?? [];
    return broken.filter(({ atMs }) => atMs > afterMs);
  }
}
