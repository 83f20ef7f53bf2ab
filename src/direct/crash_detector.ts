/**
 * Detects crashes of backend servers and the requests that ran then.
 *
 * A broken response alone is no proof, because networks reset connections too.
 * It counts as a crash if the server is unreachable soon after.
 */

import type { Clock } from "../common/clock.ts";
import type { BackendServer } from "../directory/mod.ts";
import type { Strike } from "../protocol/mod.ts";

/**
 * A server that is unreachable within this time after a broken response counts
 * as crashed.
 */
const CRASH_WINDOW_MS = 1_000;

interface BrokenResponse {
  readonly fingerprint: string;
  readonly atMs: number;
}

/** Requests whose responses recently broke off, by start of a server. */
export class CrashDetector {
  readonly #clock: Clock;
  readonly #broken = new Map<string, BrokenResponse[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a request whose response broke off. */
  recordBroken(server: BackendServer, fingerprint: string): void {
    const atMs = this.#clock.monotonicMs();
    this.#broken.set(startKeyOf(server), [
      ...this.#recent(server),
      { fingerprint, atMs },
    ]);
  }

  /**
   * Records that a server is unreachable. Returns the crash and the requests
   * that ran then; null if no response has recently broken off.
   */
  recordUnreachable(server: BackendServer): Strike | null {
    const fingerprints = this.#recent(server).map((one) => one.fingerprint);
    this.#broken.delete(startKeyOf(server));
    if (fingerprints.length === 0) return null;
    return { type: "strike", crash: startKeyOf(server), fingerprints };
  }

  /** Removes a server that has left. */
  forget(server: BackendServer): void {
    this.#broken.delete(startKeyOf(server));
  }

  #recent(server: BackendServer): BrokenResponse[] {
    const afterMs = this.#clock.monotonicMs() - CRASH_WINDOW_MS;
    const broken = this.#broken.get(startKeyOf(server)) ?? [];
    return broken.filter(({ atMs }) => atMs > afterMs);
  }
}

/** Key of one start of a server, which can only crash once. */
function startKeyOf({ id, startedAtMs }: BackendServer): string {
  return `${id} ${startedAtMs}`;
}
