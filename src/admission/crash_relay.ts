/**
 * Passes on to all routers what one of them reports of crashes.
 *
 * Every router that had requests at a crashed server reports it. What is new in
 * these reports is collected for a short time, so that the messages to a router
 * depend on time and not on the number of routers.
 */

import type { Clock } from "../common/clock.ts";
import type {
  CrashReport,
  CrashSyncMessage,
  SoundReport,
  SuspectRequest,
} from "../protocol/mod.ts";
import { CrashEvidence, CrashSync, messagesOf } from "../quarantine/mod.ts";

/**
 * Time for which news is collected: much less than a server needs to crash
 * under the next request with the same cause.
 */
const COLLECT_MS = 50;

/** News of one crash. */
interface CollectedCrash {
  readonly reportedAtMs: number;
  /** Of the first of its reports. */
  readonly ageMs: number;
  readonly requests: SuspectRequest[];
  readonly cleared: string[];
}

/** Evidence of one admission process, and what of it isn't passed on yet. */
export class CrashRelay {
  readonly #clock: Clock;
  readonly #send: (report: CrashReport | SoundReport) => void;
  readonly #evidence: CrashEvidence;
  readonly #sync: CrashSync;
  #crashes = new Map<string, CollectedCrash>();
  /** Monotonic times of sound responses, by suspect. */
  #soundAtMs = new Map<string, number>();
  #timer: NodeJS.Timeout | null = null;

  /** @param send sends a report to all routers */
  constructor(
    clock: Clock,
    { send }: { send(report: CrashReport | SoundReport): void },
  ) {
    this.#clock = clock;
    this.#send = send;
    this.#evidence = new CrashEvidence(clock);
    // Routers compare what they know with further controllers themselves.
    this.#sync = new CrashSync(clock, this.#evidence, (record) => {
      this.#evidence.add(record);
    });
  }

  /** Adds a router's report, and passes on what is new in it. */
  receive(report: CrashReport | SoundReport): void {
    const news = this.#evidence.add(report);
    if (news === null) return;
    if (news.type === "crash-report") this.#collectCrash(news);
    else this.#collectSound(news);
    this.#timer ??= setTimeout(() => this.#flush(), COLLECT_MS);
  }

  /** Handles a message of a comparison; returns the replies to it. */
  compare(message: CrashSyncMessage): CrashSyncMessage[] {
    return this.#sync.handle(message);
  }

  /** Drops old crashes; must be called periodically. */
  sweep(): void {
    this.#evidence.sweep();
  }

  /** Passes nothing more on. */
  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  #collectCrash({ crash, ageMs, requests, cleared }: CrashReport): void {
    const known = this.#crashes.get(crash);
    if (known === undefined) {
      const reportedAtMs = this.#clock.monotonicMs();
      const lists = { requests: [...requests], cleared: [...cleared] };
      this.#crashes.set(crash, { reportedAtMs, ageMs, ...lists });
      return;
    }
    known.requests.push(...requests);
    known.cleared.push(...cleared);
  }

  #collectSound({ suspects, ageMs }: SoundReport): void {
    const atMs = this.#clock.monotonicMs() - ageMs;
    for (const suspect of suspects)
      this.#soundAtMs.set(
        suspect,
        Math.max(atMs, this.#soundAtMs.get(suspect) ?? atMs),
      );
  }

  #flush(): void {
    this.#timer = null;
    const nowMs = this.#clock.monotonicMs();
    const crashes = this.#crashes;
    const sound = [...this.#soundAtMs];
    this.#crashes = new Map();
    this.#soundAtMs = new Map();
    for (const [crash, { reportedAtMs, ageMs, ...lists }] of crashes)
      this.#sendInMessages({
        ...{ type: "crash-report", crash },
        ageMs: ageMs + nowMs - reportedAtMs,
        ...lists,
      });
    if (sound.length === 0) return;
    this.#sendInMessages({
      type: "sound-report",
      suspects: sound.map(([suspect]) => suspect),
      // The oldest, so that no later crash is taken for an earlier one.
      ageMs:
        nowMs - sound.reduce((min, [, atMs]) => Math.min(min, atMs), nowMs),
    });
  }

  #sendInMessages(report: CrashReport | SoundReport): void {
    for (const message of messagesOf(report)) this.#send(message);
  }
}
