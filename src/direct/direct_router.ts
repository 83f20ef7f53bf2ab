/** A router that sends requests straight to backend servers. */

import { randomUUID } from "node:crypto";
import { systemClock } from "../common/clock.ts";
import * as connectionReset from "../common/connection_reset.ts";
import type { EventLog } from "../common/event_log.ts";
import { EventLoopProfile } from "../common/event_loop_profile.ts";
import { sleep } from "../common/promises.ts";
import {
  type DirectoryChange,
  type EvacuationState,
  packNotice,
  ServerDirectory,
  type ServerNotice,
  type ServerStart,
  unpackEvacuations,
  unpackNotice,
  VersionHistory,
  ZoneEvacuations,
} from "../directory/mod.ts";
import { TeamShares, TeamTally } from "../fairness/mod.ts";
import * as metrics from "../metrics/mod.ts";
import {
  compileFirstSchemas,
  type RequestLimitNotice,
} from "../protocol/mod.ts";
import { type FleetConfiguration, ZoneRegions } from "../routing/mod.ts";
import { Scheduler } from "../scheduling/mod.ts";
import type { Identity } from "../transport/mod.ts";
import { AdmissionClients } from "./admission_clients.ts";
import { CallerServer } from "./caller_server.ts";
import { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import {
  type ConfigurationLimits,
  ConfigurationState,
} from "./configuration_state.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { CrashGuard } from "./crash_guard.ts";
import type { Dialect } from "./dialect.ts";
import type { ExchangeDependencies } from "./exchange.ts";
import { HealthLog, type Readiness } from "./health_log.ts";
import { MemoryBudget, maxConnectionsOf } from "./memory_budget.ts";
import { MonitoringEndpoint } from "./monitoring_endpoint.ts";
import { RetryBudget, type RetryLimits } from "./retry_budget.ts";
import { type DirectRouterSettings, parseAddress } from "./settings.ts";
import { SharedEvacuations } from "./shared_evacuations.ts";
import { StreamOrigins } from "./stream_origins.ts";

/**
 * Share of a bound for which a confirmation of the configuration is relied on. The
 * rest allows for clock drift only: the bounds permit a request that was sent before
 * their end to be handled after it.
 */
const CONFIRMATION_SHARE = 0.95;
/**
 * Time after the shutdown signal for which new connections are accepted. The
 * load balancer probes once a second and drops a router after two failures.
 */
const ACCEPT_AFTER_SIGNAL_MS = 2_500;
/** Share of the grace period after which open connections are closed. */
const DRAIN_GRACE_SHARE = 0.93;
/** Age that is reported for a configuration that was never confirmed. */
const MAX_REPORTED_AGE_S = 1e6;
const DRAIN_CHECK_INTERVAL_MS = 20;
/** Interval of the log lines that tell what became of each team's requests. */
const TEAM_LOG_INTERVAL_MS = 1_000;
/** Ends of requests in whose intervals the teams are logged. */
const LOGGED_ENDS = ["no-room", "paused", "limited", "overloaded"];
/** Teams per interval that are logged. */
const LOGGED_TEAMS = 8;
const SWEEP_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

/** One router. Call `start`, then `close`. */
export class DirectRouter {
  /** Configuration in force; its source confirms that it is current. */
  readonly configuration: ConfigurationState;
  /** Known backend servers; their source adds and removes them. */
  readonly directory: ServerDirectory;
  /** Versions of the backend servers, lately and now. */
  readonly versions: VersionHistory;
  /** Zones that operators have emptied. */
  readonly evacuations: ZoneEvacuations;
  readonly #settings: DirectRouterSettings;
  readonly #events: EventLog;
  readonly #clock = systemClock;
  readonly #metrics = new metrics.MetricsRegistry();
  readonly #admissionClients: AdmissionClients;
  readonly #scheduler: Scheduler;
  readonly #retryBudget: RetryBudget;
  readonly #pool = new ConnectionPool();
  readonly #crashGuard: CrashGuard;
  readonly #origins: StreamOrigins;
  readonly #sharedEvacuations: SharedEvacuations;
  readonly #zoneRegions: ZoneRegions;
  readonly #callerServer: CallerServer;
  readonly #readyEndpoint: MonitoringEndpoint;
  readonly #metricsEndpoint: MonitoringEndpoint;
  readonly #memory: MemoryBudget;
  readonly #teamTally = new TeamTally();
  readonly #profile: EventLoopProfile;
  readonly #healthLog: HealthLog;
  #sweepTimer: NodeJS.Timeout | null = null;
  #teamLogTimer: NodeJS.Timeout | null = null;
  #closing = false;

  constructor(
    settings: DirectRouterSettings,
    deps: { readonly events: EventLog; readonly dialect: Dialect },
  ) {
    const { events, dialect } = deps;
    const { retries, availabilityZone } = settings;
    const clock = this.#clock;
    this.#profile = new EventLoopProfile(clock);
    const profile = this.#profile;
    this.#settings = settings;
    this.#events = events;
    const limits = configurationLimitsOf(settings);
    this.configuration = new ConfigurationState(clock, events, limits);
    this.directory = new ServerDirectory(clock);
    this.versions = new VersionHistory(clock);
    this.evacuations = new ZoneEvacuations(clock);
    // Before requests are placed there again: its servers have had none.
    this.evacuations.onChange(({ returned }) => {
      for (const zone of returned) this.#markZoneCold(zone);
    });
    this.#zoneRegions = new ZoneRegions(settings.zoneRegions ?? {});
    const identity = createIdentity(settings);
    this.#admissionClients = new AdmissionClients(
      { clock, events, identity, profile, settings, metrics: this.#metrics },
      {
        table: () => this.configuration.table,
        expectedTokensPerMs: (service) =>
          this.#scheduler.expectedTokensPerMs(service),
        coldTerms: (server) => this.#scheduler.cold.termsOf(server),
        onChange: () => this.#handleAdmissionChange(),
        crashSummary: () => this.#crashGuard.summary,
        onCrashSync: (message) =>
          profile.measure("crash-reports", () =>
            this.#crashGuard.compare(message),
          ),
        onReport: (report) =>
          profile.measure("crash-reports", () =>
            this.#crashGuard.receive(report),
          ),
        serverNotices: () =>
          this.directory.notices.current.map(({ start, notice }) =>
            packNotice(start, notice),
          ),
        onServerNotice: (report) => {
          const { start, notice } = unpackNotice(report);
          this.#applyNotice(start, notice, null);
        },
        evacuations: () => this.#sharedEvacuations.report,
        onEvacuations: (report) =>
          this.#sharedEvacuations.learn(unpackEvacuations(report), "relay"),
        onRequestLimit: (notice) => this.#handleRequestLimit(notice),
        onOrigin: (answer) => this.#origins.receive(answer),
        onConnection: (host) => this.#origins.handleHolderChange(host),
      },
    );
    this.#sharedEvacuations = new SharedEvacuations({
      ...{ clock, events, evacuations: this.evacuations },
      boundMs: settings.evacuationMs ?? null,
      serversIn: (zone) => this.directory.countIn(zone),
      share: (report, changed) =>
        this.#admissionClients.shareEvacuations(report, changed),
      onChange: () => this.#scheduler.applyEvacuations(),
    });
    this.#origins = new StreamOrigins({
      ...{ clock, events, directory: this.directory },
      versions: this.versions,
      holders: () => this.#admissionClients.originHolders,
    });
    this.#crashGuard = new CrashGuard({
      ...{ clock, events, pool: this.#pool },
      send: (report) => this.#admissionClients.sendReport(report),
    });
    this.#scheduler = new Scheduler({
      ...{ clock, availabilityZone, notices: this.directory.notices },
      evacuations: this.evacuations,
      admissionOf: (server) => this.#admissionClients.of(server),
      shareRequestLimit: (server, observation) =>
        this.#admissionClients.shareRequestLimit(server, observation),
    });
    this.#retryBudget = new RetryBudget(clock, retryLimitsOf(retries));
    this.#memory = new MemoryBudget(settings, {
      ...{ clock, events, metrics: this.#metrics },
    });
    const callerDeps: ExchangeDependencies = {
      ...{ clock, events, dialect, configuration: this.configuration },
      held: this.#memory.held,
      scheduler: this.#scheduler,
      pool: this.#pool,
      retryBudget: this.#retryBudget,
      crashGuard: this.#crashGuard,
      origins: this.#origins,
      onServerNotice: (server, notice, request) => {
        if (this.#applyNotice(server, notice, request))
          this.#admissionClients.shareServerNotice(
            server.host,
            packNotice(server, notice),
          );
      },
      metrics: this.#metrics,
      teamTally: this.#teamTally,
      teamShares: new TeamShares(clock),
      callerWaits: new CallerWaitEstimator(),
      zoneRegions: this.#zoneRegions,
    };
    this.#callerServer = new CallerServer(callerDeps, {
      maxConnections: maxConnectionsOf(settings),
    });
    const sources = {
      ready: () => this.#isReady(),
      metrics: () => this.#metrics.text(),
    };
    this.#healthLog = new HealthLog({
      ...{ events, profile },
      state: () => ({
        readiness: this.#currentReadiness,
        openRequests: this.#callerServer.openRequests,
        waiting: this.waiting,
        standingQueueMs: this.#callerServer.standingQueueMs,
      }),
    });
    this.#readyEndpoint = new MonitoringEndpoint(sources);
    this.#metricsEndpoint = new MonitoringEndpoint(sources);
    this.#registerMetrics();
    this.#watchDirectory();
  }

  /** Number of requests that wait for a server. */
  get waiting(): number {
    return this.#scheduler.waiting;
  }

  /** Starts listening. Rejects if an address can't be bound. */
  async start(): Promise<void> {
    const { entry, ready, metrics, instance } = this.#settings;
    compileFirstSchemas();
    connectionReset
      .load()
      .mapErr((reason) => this.#events.warn("no-connection-reset", { reason }));
    await this.#callerServer.listen(parseAddress(entry));
    await this.#readyEndpoint.listen(parseAddress(ready));
    if (metrics !== undefined) {
      await this.#metricsEndpoint.listen(parseAddress(metrics));
    }
    this.#sweepTimer = setInterval(() => {
      this.directory.sweep();
      this.#crashGuard.sweep();
      this.#sharedEvacuations.sweep();
      this.#healthLog.logReadinessChange();
    }, SWEEP_INTERVAL_MS);
    this.#teamLogTimer = setInterval(() => {
      this.#logTeams();
      this.#healthLog.logEventLoop();
      this.#memory.log();
    }, TEAM_LOG_INTERVAL_MS);
    this.#profile.start();
    this.#events.info("start", { instance, entry });
  }

  /**
   * Applies a configuration if it is newer than the one in force; a router that
   * starts does so once it knows which zones are emptied.
   */
  configure(configuration: FleetConfiguration): void {
    this.#sharedEvacuations.whenKnown(() => this.#configure(configuration));
  }

  /** Applies which zones are emptied, as the store tells. */
  learnEvacuations(state: EvacuationState): void {
    this.#sharedEvacuations.learn(state, "store");
  }

  #configure(configuration: FleetConfiguration): void {
    const table = this.configuration.adopt(configuration);
    if (table === null) return;
    this.#scheduler.configure(table);
    this.#admissionClients.sendEngineConfiguration();
    this.#callerServer.setLimits(table.limits);
  }

  /** Marks the servers of a zone as cold that has had no requests for a time. */
  #markZoneCold(availabilityZone: string): void {
    const servers = this.#scheduler.cold.markZone(availabilityZone);
    if (servers.length === 0) return;
    const fields = { zone: availabilityZone, servers: servers.length };
    this.#events.info("zone-cold", fields);
    for (const { host } of servers)
      this.#admissionClients.sendEngineConfigurationTo(host);
  }

  /** Applies the settings that can change at run time. */
  reload(settings: DirectRouterSettings): void {
    this.#retryBudget.setLimits(retryLimitsOf(settings.retries));
    this.configuration.setLimits(configurationLimitsOf(settings));
    this.#zoneRegions.replace(settings.zoneRegions ?? {});
    this.#events.info("reload", { instance: this.#settings.instance });
  }

  /**
   * Shuts down within the grace period: serves open and, for a short time, new
   * requests, then closes what is left.
   */
  async close(): Promise<void> {
    this.#closing = true;
    const startedMs = this.#clock.monotonicMs();
    const graceMs = this.#settings.graceSeconds * MS_PER_SECOND;
    const closeAtMs = startedMs + graceMs * DRAIN_GRACE_SHARE;
    this.#events.info("stop", { open: this.#callerServer.openRequests });
    this.#callerServer.disableKeepAlive();
    await sleep(Math.min(ACCEPT_AFTER_SIGNAL_MS, graceMs / 2));
    this.#callerServer.stopListening();
    this.#scheduler.drain(closeAtMs);
    while (this.#callerServer.isBusy && this.#clock.monotonicMs() < closeAtMs) {
      await sleep(DRAIN_CHECK_INTERVAL_MS);
    }
    this.#scheduler.close();
    // Lets the last refusals be sent.
    await sleep(DRAIN_CHECK_INTERVAL_MS);
    this.#events.info("stopped", { cut: this.#callerServer.openRequests });
    this.#callerServer.closeAllConnections();
    this.#readyEndpoint.close();
    this.#metricsEndpoint.close();
    this.#pool.close();
    this.#admissionClients.close();
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer);
    if (this.#teamLogTimer !== null) clearInterval(this.#teamLogTimer);
    this.#profile.stop();
  }

  #registerMetrics(): void {
    const registry = this.#metrics;
    registry.gauge(
      "oriole_open_requests",
      () => this.#callerServer.openRequests,
    );
    registry.gauge(
      "oriole_accept_queue_standing_seconds",
      () => this.#callerServer.standingQueueMs / MS_PER_SECOND,
    );
    registry.gauge(
      "oriole_caller_connections",
      () => this.#callerServer.connections,
    );
    registry.gauge("oriole_waiting_requests", () => this.waiting);
    registry.gauge(
      "oriole_server_connections",
      () => this.#pool.connectAttempts,
    );
    registry.gauge(
      "oriole_admission_connections",
      () => this.#admissionClients.connections,
    );
    registry.gauge("oriole_routers", () => this.#scheduler.routers);
    registry.gauge(
      "oriole_limited_servers",
      () => this.#scheduler.limitedServers,
    );
    registry.gauge(
      "oriole_cold_waiting_requests",
      () => this.#scheduler.cold.waiting,
    );
    registry.gauges(
      "oriole_cold_servers",
      "zone",
      () => this.#scheduler.cold.countByZone,
    );
    registry.gauge(
      "oriole_server_notices",
      () => this.directory.notices.current.length,
    );
    registry.gauge("oriole_emptied_zones", () => this.#emptiedZones.length);
    registry.gauge("oriole_emptied_servers", () =>
      this.#emptiedZones.reduce(
        (sum, zone) => sum + this.directory.countIn(zone),
        0,
      ),
    );
    registry.gauge("oriole_quarantined", () => this.#crashGuard.suspects);
    registry.gauge("oriole_crash_causes", () => this.#crashGuard.causes);
    registry.gauge(
      "oriole_configuration_version",
      () => this.configuration.table?.version ?? 0,
    );
    registry.gauge("oriole_configuration_age_seconds", () =>
      Math.min(this.configuration.ageMs / MS_PER_SECOND, MAX_REPORTED_AGE_S),
    );
    metrics.registerResourceMetrics(registry);
  }

  #watchDirectory(): void {
    this.directory.onChange((change) => {
      const { id, service, version, state } = change.server;
      const server = { server: id, service, version, state };
      const fields = { change: change.type, ...server };
      this.#events.info("server", fields);
      this.versions.apply(change);
      this.#scheduler.apply(change);
      this.#handleColdEntry(change);
      this.#crashGuard.handleChange(change);
      if (change.type !== "left") return;
      this.#pool.closeIdle(change.server);
      this.#admissionClients.removeServer(change.server);
    });
  }

  /** Tells the admission controller of a server whose entry says it is cold. */
  #handleColdEntry({ type, server }: DirectoryChange): void {
    const { id, host, availabilityZone: zone, coldForMs } = server;
    if (type === "left" || coldForMs <= 0) return;
    if (this.#scheduler.cold.termsOf(server) === null) return;
    this.#events.info("server-cold", { server: id, zone, coldForMs });
    this.#admissionClients.sendEngineConfigurationTo(host);
  }

  /** Logs the largest teams of an interval in which requests were refused. */
  #logTeams(): void {
    const tally = this.#teamTally;
    const isLogged = LOGGED_ENDS.some((end) => tally.has(end));
    const teams = tally.take(LOGGED_TEAMS);
    if (!isLogged) return;
    for (const { team, counts } of teams)
      this.#events.info("team-load", { team, ...counts });
  }

  #handleAdmissionChange(): void {
    this.#retryBudget.setRouterCount(this.#scheduler.routers);
    this.#profile.measure("placing", () => this.#scheduler.dispatchAll());
  }

  #handleRequestLimit(notice: RequestLimitNotice): void {
    const { server, startedAtMs, requestsPerS, ageMs } = notice;
    const sentAtMs = this.#clock.monotonicMs() - ageMs;
    const isChanged = this.#scheduler.noteRequestLimit(
      { id: server, startedAtMs },
      { requestsPerS, sentAtMs },
    );
    if (!isChanged) return;
    this.#events.info("request-limit", { server, requestsPerS, request: null });
    this.#scheduler.dispatchAll();
  }

  /**
   * Applies what a server has said of itself; returns whether it is news.
   *
   * @param request id of the request it responded to; null if another router
   *   has reported it
   */
  #applyNotice(
    start: ServerStart,
    notice: ServerNotice,
    request: string | null,
  ): boolean {
    if (!this.directory.note(start, notice)) return false;
    const forMs = notice.type === "paused" ? Math.round(notice.forMs) : null;
    const fields = { server: start.id, notice: notice.type, forMs, request };
    this.#events.info("server-notice", fields);
    const server = this.directory.get(start.id);
    if (server !== null) this.#scheduler.applyNotice(server.service);
    return true;
  }

  get #emptiedZones(): readonly string[] {
    return this.evacuations.current?.zones ?? [];
  }

  get #currentReadiness(): Readiness {
    if (this.#closing) return "stopping";
    if (this.configuration.table === null) return "no-configuration";
    // Other routers may still reach the store.
    if (this.configuration.keysAreExpiring) return "keys-too-old";
    return this.#callerServer.isReady ? "ready" : "overloaded";
  }

  #isReady(): boolean {
    return this.#currentReadiness === "ready";
  }
}

function configurationLimitsOf({
  revocationMs,
  configurationMs,
}: DirectRouterSettings): ConfigurationLimits {
  return {
    keysMaxAgeMs: revocationMs * CONFIRMATION_SHARE,
    refusalMaxAgeMs: configurationMs * CONFIRMATION_SHARE,
  };
}

function retryLimitsOf({
  ratio,
  windowSeconds,
  slack,
}: DirectRouterSettings["retries"]): RetryLimits {
  return { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND };
}

function createIdentity(settings: DirectRouterSettings): Identity {
  const { instance, availabilityZone } = settings;
  const incarnation = randomUUID();
  const service = "";
  const role = "router";
  return { role, instance, incarnation, availabilityZone, service };
}
