/**
 * Remembers the notices that servers have given.
 *
 * A server that has restarted has a new start and no notices. One whose entries
 * tell no start time can't be told from the one before it, so a restarted one is
 * only known once its predecessor's notices have lapsed.
 */

import type { Clock } from "../common/clock.ts";
import { startKeyOf } from "./backend_server.ts";
import type {
  CurrentNotice,
  ServerNotice,
  ServerStart,
} from "./server_notice.ts";

/**
 * Time for which a server that leaves is remembered. It exits within a fraction
 * of that; what outlasts it is another server with the same id.
 */
const LEAVING_MS = 600_000;
/** Longest pause that is taken at its word. */
const MAX_PAUSE_MS = 3_600_000;
/**
 * Responses that were sent together tell of the same pause: an end that is later
 * by less than this is no news.
 */
const SAME_END_MS = 100;

/** Ends of what one start of a server has announced, in monotonic ms. */
interface Announced {
  readonly start: ServerStart;
  readonly leavingUntilMs: number;
  readonly pausedUntilMs: number;
}

/** Notices by start of a server. */
export class ServerNotices {
  readonly #clock: Clock;
  readonly #byStart = new Map<string, Announced>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether no notice is remembered, in force or not. */
  get isEmpty(): boolean {
    return this.#byStart.size === 0;
  }

  /** Records a notice; returns whether it is news. */
  note(start: ServerStart, notice: ServerNotice): boolean {
    const nowMs = this.#clock.monotonicMs();
    this.#forgetBefore(nowMs);
    const known = this.#find(start);
    switch (notice.type) {
      case "leaving": {
        if (known.leavingUntilMs > nowMs) return false;
        this.#set({ ...known, leavingUntilMs: nowMs + LEAVING_MS });
        return true;
      }
      case "paused": {
        const pausedUntilMs = nowMs + Math.min(notice.forMs, MAX_PAUSE_MS);
        const knownEndMs = Math.max(known.pausedUntilMs, nowMs);
        if (pausedUntilMs <= knownEndMs) return false;
        this.#set({ ...known, pausedUntilMs });
        return pausedUntilMs > knownEndMs + SAME_END_MS;
      }
      default:
        return notice satisfies never;
    }
  }

  /** Whether a server has announced that it leaves. */
  isLeaving(start: ServerStart): boolean {
    return this.#find(start).leavingUntilMs > this.#clock.monotonicMs();
  }

  /** Time in milliseconds until a server takes requests again; 0 if it does. */
  pauseLeftMs(start: ServerStart): number {
    const { pausedUntilMs } = this.#find(start);
    return Math.max(0, pausedUntilMs - this.#clock.monotonicMs());
  }

  /** Whether a server takes no request now. */
  isClosed(start: ServerStart): boolean {
    return this.isLeaving(start) || this.pauseLeftMs(start) > 0;
  }

  /** Notices in force, for a process that may not know them. */
  get current(): CurrentNotice[] {
    return [...this.#byStart.values()].flatMap(({ start }) => {
      const notices: ServerNotice[] = [];
      const forMs = this.pauseLeftMs(start);
      if (this.isLeaving(start)) notices.push({ type: "leaving" });
      if (forMs > 0) notices.push({ type: "paused", forMs });
      return notices.map((notice) => ({ start, notice }));
    });
  }

  #find({ id, startedAtMs }: ServerStart): Announced {
    const none = Number.NEGATIVE_INFINITY;
    return (
      this.#byStart.get(startKeyOf({ id, startedAtMs })) ?? {
        start: { id, startedAtMs },
        leavingUntilMs: none,
        pausedUntilMs: none,
      }
    );
  }

  #set(announced: Announced): void {
    this.#byStart.set(startKeyOf(announced.start), announced);
  }

  #forgetBefore(nowMs: number): void {
    for (const [key, { leavingUntilMs, pausedUntilMs }] of this.#byStart) {
      if (Math.max(leavingUntilMs, pausedUntilMs) <= nowMs)
        this.#byStart.delete(key);
    }
  }
}
