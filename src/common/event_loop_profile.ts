/** Shows how long the event loop was blocked, and by what. */

import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Clock } from "./clock.ts";
import { ProcessorShare } from "./processor_share.ts";

/** Resolution of the measurement of turns. */
const RESOLUTION_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

/** Work whose time grows with the size of the fleet. */
export type FleetWork = "decoding" | "crash-reports" | "placing";

/** Amount of one kind of work, and the time that it took. */
export interface WorkAmount {
  readonly count: number;
  /** Milliseconds. */
  readonly tookMs: number;
}

/** What was observed since the previous report. */
export interface EventLoopReport {
  /** Longest turn of the event loop, in milliseconds. */
  readonly longestTurnMs: number;
  /** Share of one processor that the process has used. */
  readonly processorShare: number;
  readonly amounts: Readonly<Record<FleetWork, WorkAmount>>;
}

/** Measures the turns of the event loop from `start` to `stop`. */
export class EventLoopProfile {
  readonly #clock: Clock;
  readonly #processorShare: ProcessorShare;
  readonly #delays = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
  #amounts = noAmounts();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#processorShare = new ProcessorShare(clock);
  }

  /** Starts to measure turns. */
  start(): void {
    this.#delays.enable();
  }

  /** Ends what `start` began. */
  stop(): void {
    this.#delays.disable();
  }

  /** Runs synchronous work, whose time counts for its kind. */
  measure<T>(work: FleetWork, run: () => T): T {
    const startedMs = this.#clock.monotonicMs();
    try {
      return run();
    } finally {
      const { count, tookMs } = this.#amounts[work];
      const addedMs = this.#clock.monotonicMs() - startedMs;
      this.#amounts[work] = { count: count + 1, tookMs: tookMs + addedMs };
    }
  }

  /**
   * Returns what was observed, and starts anew. A turn that begins within
   * `RESOLUTION_MS` after it isn't measured.
   */
  take(): EventLoopReport {
    const longestMs = this.#delays.max / NANOSECONDS_PER_MS - RESOLUTION_MS;
    const amounts = this.#amounts;
    this.#amounts = noAmounts();
    this.#delays.reset();
    return {
      longestTurnMs: Math.max(0, longestMs),
      processorShare: this.#processorShare.take(),
      amounts,
    };
  }
}

function noAmounts(): Record<FleetWork, WorkAmount> {
  const none = { count: 0, tookMs: 0 };
  return { decoding: none, "crash-reports": none, placing: none };
}
