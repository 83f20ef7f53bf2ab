/** A router that sends requests straight to backend servers. */

import { randomUUID } from "node:crypto";
import { systemClock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import { sleep } from "../common/signal.ts";
import { ServerDirectory } from "../directory/mod.ts";
import * as metrics from "../metrics/mod.ts";
import type { Strike } from "../protocol/mod.ts";
import { Quarantine } from "../quarantine/mod.ts";
import { Scheduler } from "../scheduling/mod.ts";
import type { Identity } from "../transport/mod.ts";
import { Beliefs } from "./beliefs.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { CrashWatch } from "./crash_watch.ts";
import type { Dialect } from "./dialect.ts";
import { Entry } from "./entry.ts";
import { Gates } from "./gates.ts";
import { ReadyEndpoint } from "./ready_endpoint.ts";
import { RetryAllowance, type RetryBounds } from "./retry_allowance.ts";
import { type DirectRouterSettings, parseAddress } from "./settings.ts";
import { UsualWait } from "./usual_wait.ts";

/**
 * Part of the revocation bound for which keys are trusted without word. What
 * was sent before its end may run; the rest is for clocks that drift.
 */
const KEYS_TRUSTED_SHARE = 0.95;
/**
 * Time after a signal to end for which new connections are taken. The
 * balancer asks once a second and needs two misses to look elsewhere.
 */
const LINGER_MS = 2_500;
/** Part of the grace after which what is left is cut off. */
const GRACE_SHARE = 0.93;
/**
 * Crashes after which a request is refused. Others that ran beside it are
 * struck too, and a crash now and then must not condemn them.
 */
const CRASHES_LIMIT = 3;
/** Age that is shown for a configuration that was never confirmed. */
const OLDEST_AGE_S = 1e6;
const DRAIN_CHECK_MS = 20;
const SWEEP_MS = 100;
const MS_PER_SECOND = 1_000;

/** One router; `start` it, then `close` it. */
export class DirectRouter {
  /** Where what operators decide is handed in. */
  readonly beliefs: Beliefs;
  /** Where what servers announce is handed in. */
  readonly directory: ServerDirectory;
  readonly #settings: DirectRouterSettings;
  readonly #events: EventLog;
  readonly #clock = systemClock;
  readonly #metrics = new metrics.Registry();
  readonly #gates: Gates;
  readonly #scheduler: Scheduler;
  readonly #retries: RetryAllowance;
  readonly #pool = new ConnectionPool();
  readonly #quarantine = new Quarantine(systemClock, {
    strikesLimit: CRASHES_LIMIT,
  });
  readonly #crashes = new CrashWatch(systemClock);
  readonly #entry: Entry;
  readonly #ready: ReadyEndpoint;
  readonly #metricsEndpoint: ReadyEndpoint;
  #sweep: NodeJS.Timeout | null = null;
  #closing = false;

  constructor(
    settings: DirectRouterSettings,
    parts: { readonly events: EventLog; readonly dialect: Dialect },
  ) {
    const { events, dialect } = parts;
    const { revocationMs, retries, availabilityZone } = settings;
    const clock = this.#clock;
    this.#settings = settings;
    this.#events = events;
    const keysTrustedMs = revocationMs * KEYS_TRUSTED_SHARE;
    this.beliefs = new Beliefs(clock, events, { keysTrustedMs });
    this.directory = new ServerDirectory(clock);
    const identity = createIdentity(settings);
    this.#gates = new Gates(
      { clock, events, identity, settings },
      {
        table: () => this.beliefs.table,
        expectedTokensPerMs: (service) =>
          this.#scheduler.expectedTokensPerMs(service),
        changed: () => this.#noteGates(),
        struck: (strike) => this.#quarantine.strike(strike),
      },
    );
    this.#scheduler = new Scheduler({
      ...{ clock, availabilityZone },
      gateOf: (server) => this.#gates.of(server),
    });
    this.#retries = new RetryAllowance(clock, boundsOf(retries));
    this.#entry = new Entry({
      ...{ clock, events, dialect, beliefs: this.beliefs },
      scheduler: this.#scheduler,
      pool: this.#pool,
      retries: this.#retries,
      quarantine: this.#quarantine,
      crashes: this.#crashes,
      metrics: this.#metrics,
      usualWait: new UsualWait(),
      struck: (strike) => this.#noteCrash(strike),
    });
    const sources = {
      ready: () => this.#isReady(),
      metrics: () => this.#metrics.text(),
    };
    this.#ready = new ReadyEndpoint(sources);
    this.#metricsEndpoint = new ReadyEndpoint(sources);
    this.#registerMetrics();
    this.#follow();
  }

  /** Requests that wait for a server. */
  get waiting(): number {
    return this.#scheduler.waiting;
  }

  /** Starts listening. Rejects when an address can't be bound. */
  async start(): Promise<void> {
    const { entry, ready, metrics, instance } = this.#settings;
    await this.#entry.listen(parseAddress(entry));
    await this.#ready.listen(parseAddress(ready));
    if (metrics !== undefined) {
      await this.#metricsEndpoint.listen(parseAddress(metrics));
    }
    this.#sweep = setInterval(() => this.directory.sweep(), SWEEP_MS);
    this.#events.info("start", { instance, entry });
  }

  /** Takes a new configuration, unless a newer one is in force. */
  configure(configuration: Parameters<Beliefs["adopt"]>[0]): void {
    const table = this.beliefs.adopt(configuration);
    if (table === null) return;
    this.#scheduler.configure(table);
    this.#gates.sendTerms();
    this.#entry.setLimits(table.limits);
  }

  /** Takes settings that may change while it runs. */
  reload({ retries, revocationMs }: DirectRouterSettings): void {
    this.#retries.setBounds(boundsOf(retries));
    this.beliefs.setKeysTrusted(revocationMs * KEYS_TRUSTED_SHARE);
    this.#events.info("reload", { instance: this.#settings.instance });
  }

  /** Serves what came and what still comes for a while, then stops. */
  async close(): Promise<void> {
    this.#closing = true;
    const startedMs = this.#clock.monotonicMs();
    const graceMs = this.#settings.graceSeconds * MS_PER_SECOND;
    const elapsedMs = () => this.#clock.monotonicMs() - startedMs;
    this.#events.info("stop", { open: this.#entry.open });
    this.#entry.turnAway();
    await sleep(Math.min(LINGER_MS, graceMs / 2));
    this.#entry.stopListening();
    while (this.#entry.open > 0 && elapsedMs() < graceMs * GRACE_SHARE) {
      await sleep(DRAIN_CHECK_MS);
    }
    this.#events.info("stopped", { cut: this.#entry.open });
    this.#entry.cut();
    this.#ready.close();
    this.#metricsEndpoint.close();
    this.#pool.close();
    this.#gates.close();
    this.#scheduler.close();
    if (this.#sweep !== null) clearInterval(this.#sweep);
  }

  #registerMetrics(): void {
    const registry = this.#metrics;
    registry.gauge("oriole_open_requests", () => this.#entry.open);
    registry.gauge("oriole_waiting_requests", () => this.waiting);
    registry.gauge("oriole_server_connections", () => this.#pool.opened);
    registry.gauge("oriole_routers", () => this.#scheduler.routers);
    registry.gauge("oriole_quarantined", () => this.#quarantine.size);
    registry.gauge(
      "oriole_configuration_version",
      () => this.beliefs.table?.version ?? 0,
    );
    registry.gauge("oriole_configuration_age_seconds", () =>
      Math.min(this.beliefs.ageMs / MS_PER_SECOND, OLDEST_AGE_S),
    );
    metrics.registerUse(registry);
  }

  #follow(): void {
    this.directory.onChange((change) => {
      const { id, service, state } = change.server;
      const what = { change: change.type, server: id, service, state };
      this.#events.info("server", what);
      this.#scheduler.apply(change);
      if (change.type !== "left") return;
      this.#pool.drop(change.server);
      this.#gates.drop(change.server);
      this.#crashes.drop(change.server);
    });
  }

  #noteCrash(strike: Strike): void {
    this.#quarantine.strike(strike);
    this.#gates.sendStrike(strike);
    const { crash, fingerprints } = strike;
    this.#events.warn("server-crashed", { crash, ran: fingerprints.length });
  }

  #noteGates(): void {
    this.#retries.setRouters(this.#scheduler.routers);
    this.#scheduler.serveAll();
  }

  #isReady(): boolean {
    return !this.#closing && this.beliefs.table !== null;
  }
}

function boundsOf({
  ratio,
  windowSeconds,
  slack,
}: DirectRouterSettings["retries"]): RetryBounds {
  return { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND };
}

function createIdentity(settings: DirectRouterSettings): Identity {
  const { instance, availabilityZone } = settings;
  const incarnation = randomUUID();
  const service = "";
  const role = "router";
  return { role, instance, incarnation, availabilityZone, service };
}
