/** The memory that a router has for what callers and servers make it hold. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import { HeldBytes } from "../common/held_bytes.ts";
import type { MetricsRegistry } from "../metrics/mod.ts";
import type { DirectRouterSettings } from "./settings.ts";

/** Memory of the machine if the settings don't name it: the smallest one. */
const DEFAULT_MEMORY_MB = 210;
/**
 * Share of the machine's memory. A router needs about 100 MB for itself, half of
 * the smallest machine; more than half of the rest is for what large crowds leave
 * until garbage is collected.
 */
const HELD_SHARE = 0.2;
const BYTES_PER_MB = 1_000_000;
/** Descriptors if the settings don't name them, as most systems allow. */
const DEFAULT_DESCRIPTORS = 1_024;
/** Descriptors for files, the store and admission controllers. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors for callers; the rest is for servers. */
const CALLER_SHARE = 0.5;

/** What a router's settings tell of its machine. */
export type Machine = Pick<DirectRouterSettings, "memoryMb" | "descriptors">;

/** Returns the number of callers' connections that may be open at once. */
export function maxConnectionsOf({ descriptors }: Machine): number {
  const available = (descriptors ?? DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS;
  return Math.max(1, Math.floor(available * CALLER_SHARE));
}

/** Counts, and tells operators, what is held and who had to yield. */
export class MemoryBudget {
  readonly held: HeldBytes;
  readonly #events: EventLog;
  /** Ends since the last log line, by reason. */
  #ends: Record<string, number> = {};

  constructor(
    { memoryMb = DEFAULT_MEMORY_MB }: Machine,
    deps: {
      readonly clock: Clock;
      readonly events: EventLog;
      readonly metrics: MetricsRegistry;
    },
  ) {
    const { clock, events, metrics } = deps;
    this.#events = events;
    const count = (kind: string, reason: string) => {
      metrics.count("oriole_held_bytes_refusals_total", { kind, reason });
      const end = `${kind}-${reason}`;
      this.#ends[end] = (this.#ends[end] ?? 0) + 1;
    };
    this.held = new HeldBytes(clock, {
      limitBytes: memoryMb * BYTES_PER_MB * HELD_SHARE,
      onYield: count,
      onRefusal: (kind) => count(kind, "full"),
    });
    metrics.gauge("oriole_held_bytes", () => this.held.totalBytes);
    metrics.gauge("oriole_held_bytes_limit", () => this.held.limitBytes);
  }

  /** Logs an interval in which memory was refused or taken back. */
  log(): void {
    const ends = this.#ends;
    if (Object.keys(ends).length === 0) return;
    this.#ends = {};
    const { totalBytes, limitBytes } = this.held;
    this.#events.warn("memory-short", { totalBytes, limitBytes, ...ends });
  }
}
