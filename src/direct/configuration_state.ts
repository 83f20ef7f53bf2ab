/** The configuration that a router uses, and how current it is. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import { elapsedMs, type Moment } from "../common/moment.ts";
import { type FleetConfiguration, RouteTable } from "../routing/mod.ts";

/**
 * Share of their maximum age from which on API keys count as expiring. The load
 * balancer needs two probes, a second apart, to send callers elsewhere.
 */
const EXPIRING_KEYS_SHARE = 0.8;

/** How long a configuration is relied on after it was confirmed as current. */
export interface ConfigurationLimits {
  /** Time in ms for which API keys are trusted. */
  readonly keysMaxAgeMs: number;
  /**
   * Time in ms for which a request is refused for good, as a key or a route that
   * was added later is in force by then.
   */
  readonly refusalMaxAgeMs: number;
}

/** The newest known configuration, and when it was last confirmed current. */
export class ConfigurationState {
  readonly #clock: Clock;
  readonly #events: EventLog;
  #limits: ConfigurationLimits;
  #table: RouteTable | null = null;
  #confirmedAt: Moment | null = null;

  constructor(clock: Clock, events: EventLog, limits: ConfigurationLimits) {
    this.#clock = clock;
    this.#events = events;
    this.#limits = limits;
  }

  /** The configuration in force; null before the first one. */
  get table(): RouteTable | null {
    return this.#table;
  }

  /** Time since the last confirmation; infinite before the first one. */
  get ageMs(): number {
    if (this.#confirmedAt === null) return Number.POSITIVE_INFINITY;
    return elapsedMs(this.#clock, this.#confirmedAt);
  }

  /** Whether API keys are recent enough to be trusted. */
  get keysAreFresh(): boolean {
    return this.ageMs <= this.#limits.keysMaxAgeMs;
  }

  /** Whether it is recent enough to refuse a request for good. */
  get permitsRefusal(): boolean {
    return this.ageMs <= this.#limits.refusalMaxAgeMs;
  }

  /**
   * Whether requests with API keys will soon have to be refused, unless the
   * configuration is confirmed before.
   */
  get keysAreExpiring(): boolean {
    const requiresKeys = this.#table?.requiresKeys ?? false;
    const expiringMs = this.#limits.keysMaxAgeMs * EXPIRING_KEYS_SHARE;
    return requiresKeys && this.ageMs > expiringMs;
  }

  /** Sets how long it is relied on after a confirmation. */
  setLimits(limits: ConfigurationLimits): void {
    this.#limits = limits;
  }

  /** Applies a configuration; returns null if it is not a newer one. */
  adopt(configuration: FleetConfiguration): RouteTable | null {
    const version = this.#table?.version ?? Number.NEGATIVE_INFINITY;
    if (configuration.version <= version) return null;
    this.#table = new RouteTable(configuration);
    this.#events.info("configuration", {
      version: configuration.version,
      before: Number.isFinite(version) ? version : null,
      routes: configuration.routes.length,
    });
    return this.#table;
  }

  /** Records that the configuration was current at a moment. */
  confirm(moment: Moment): void {
    this.#confirmedAt = moment;
  }
}
