/** A router's connections to the admission controllers of all engines. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { EventLoopProfile } from "../common/event_loop_profile.ts";
import type { BackendServer } from "../directory/mod.ts";
import type { MetricsRegistry } from "../metrics/mod.ts";
import {
  type CrashReport,
  type CrashSyncMessage,
  type EngineConfiguration,
  type EvacuationsReport,
  type OriginAnswer,
  prepareSchemas,
  type RequestLimitNotice,
  type ServerNoticeReport,
  type SoundReport,
} from "../protocol/mod.ts";
import type { RouteTable } from "../routing/mod.ts";
import type {
  ColdTerms,
  EngineAdmission,
  LimitObservation,
} from "../scheduling/mod.ts";
import {
  type ConnectionOwner,
  type Identity,
  Traffic,
} from "../transport/mod.ts";
import { AdmissionClient, limitNotice } from "./admission_client.ts";
import type { OriginHolder } from "./origin_queries.ts";
import { type OpenController, Relays } from "./relays.ts";
import type { DirectRouterSettings } from "./settings.ts";

/** Dependencies of `AdmissionClients`. */
export interface AdmissionClientsDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly identity: Identity;
  readonly profile?: EventLoopProfile;
  readonly metrics?: MetricsRegistry;
  readonly settings: Pick<DirectRouterSettings, "gatePort" | "fleetKey">;
}

/** Values that the clients read, and events that they report. */
export interface AdmissionClientsCallbacks {
  table(): RouteTable | null;
  /** Prompt tokens that an engine of the service should read per ms. */
  expectedTokensPerMs(service: string): number;
  /** What is known of a server that may be cold; null if it never is. */
  coldTerms?(server: BackendServer): ColdTerms | null;
  /** Called on a new report and on a lost connection. */
  onChange(): void;
  /** Message that begins a comparison of crash evidence. */
  crashSummary(): CrashSyncMessage;
  /** Handles a message of such a comparison; returns the replies to it. */
  onCrashSync(message: CrashSyncMessage): readonly CrashSyncMessage[];
  /** Called when another router reports a crash or a sound response. */
  onReport(report: CrashReport | SoundReport): void;
  /** What servers have said of themselves, for a new admission controller. */
  serverNotices(): readonly ServerNoticeReport[];
  /** Called when another router reports what a server has said of itself. */
  onServerNotice(report: ServerNoticeReport): void;
  /** What is known of emptied zones, for a new admission controller. */
  evacuations(): EvacuationsReport | null;
  /** Called when another router reports emptied zones. */
  onEvacuations(report: EvacuationsReport): void;
  /** Called when another router reports a limit. */
  onRequestLimit(notice: RequestLimitNotice): void;
  /** Called when an admission controller tells how a stream began. */
  onOrigin(answer: OriginAnswer): void;
  /** Called when the controller of a host is connected or lost. */
  onConnection(host: string): void;
}

/** Client and servers of one host; an admission controller serves its host. */
interface HostEntry {
  readonly client: AdmissionClient;
  /**
   * By id: a crashed server may still be listed in the directory after its
   * successor on the same host has started.
   */
  readonly servers: Map<string, BackendServer>;
}

/** One client for each host that runs an engine. */
export class AdmissionClients {
  readonly #deps: AdmissionClientsDependencies;
  readonly #callbacks: AdmissionClientsCallbacks;
  readonly #traffic = new Traffic();
  /** Keyed by host: a server that restarts keeps its admission controller. */
  readonly #entries = new Map<string, HostEntry>();
  readonly #relays: Relays;
  readonly #stopPreparing: () => void;

  constructor(
    deps: AdmissionClientsDependencies,
    callbacks: AdmissionClientsCallbacks,
  ) {
    this.#deps = deps;
    this.#callbacks = callbacks;
    this.#relays = new Relays({
      openControllers: () => this.#openControllers,
      crashSummary: () => this.#callbacks.crashSummary(),
    });
    this.#stopPreparing = prepareSchemas();
  }

  /**
   * Returns the client of a server's admission controller, which it connects if
   * it is new; null if the service has no engine.
   */
  of(server: BackendServer): EngineAdmission | null {
    const service = this.#callbacks.table()?.service(server.service);
    if (!service?.engine) return null;
    const existing = this.#entries.get(server.host);
    if (existing !== undefined) {
      existing.servers.set(server.id, server);
      existing.client.sendEngineConfiguration();
      return existing.client;
    }
    const client = this.#createClient(server.host);
    const servers = new Map([[server.id, server]]);
    this.#entries.set(server.host, { client, servers });
    client.run({ host: server.host, port: this.#deps.settings.gatePort });
    return client;
  }

  /** Removes a server; closes the client of a host without servers. */
  removeServer(server: BackendServer): void {
    const entry = this.#entries.get(server.host);
    if (entry === undefined || !entry.servers.delete(server.id)) return;
    if (entry.servers.size > 0) return;
    entry.client.close();
    this.#entries.delete(server.host);
  }

  /** Sends the current engine configuration to one admission controller. */
  sendEngineConfigurationTo(host: string): void {
    this.#entries.get(host)?.client.sendEngineConfiguration();
  }

  /** Sends the current engine configuration to every admission controller. */
  sendEngineConfiguration(): void {
    for (const { client } of this.#entries.values())
      client.sendEngineConfiguration();
  }

  /** Reports to all routers, through the relays. */
  sendReport(report: CrashReport | SoundReport): void {
    for (const { client } of this.#relays.choose()) client.send(report);
  }

  /** Controllers that are connected, as holders of the origins of streams. */
  get originHolders(): OriginHolder[] {
    return this.#openControllers.map(({ id, client }) => ({
      id,
      send: (message) => client.send(message),
    }));
  }

  /** Tells the other routers of the limit that a server without one names. */
  shareRequestLimit(
    server: BackendServer,
    observation: LimitObservation,
  ): void {
    const notice = limitNotice(server, observation, this.#deps);
    for (const { client } of this.#relays.choose()) client.send(notice);
  }

  /**
   * Tells the other routers what a server has said of itself. Its own admission
   * controller, if it has one, issues no more permits for it.
   */
  shareServerNotice(host: string, report: ServerNoticeReport): void {
    this.#entries.get(host)?.client.send(report);
    for (const { client } of this.#relays.choose({ except: host }))
      client.send(report);
  }

  /**
   * Tells the other routers which zones are emptied, and the controllers in some
   * zones themselves: they issue permits by it.
   */
  shareEvacuations(
    report: EvacuationsReport,
    zones: ReadonlySet<string>,
  ): void {
    const relays = this.#relays.choose().map(({ client }) => client);
    const inZones = [...this.#entries.values()]
      .filter(({ servers }) =>
        [...servers.values()].some((one) => zones.has(one.availabilityZone)),
      )
      .map(({ client }) => client);
    for (const client of new Set([...relays, ...inZones])) client.send(report);
  }

  /** Number of controllers that are connected and have reported. */
  get connections(): number {
    return [...this.#entries.values()].filter(({ client }) => client.connected)
      .length;
  }

  get #openControllers(): OpenController[] {
    return [...this.#entries]
      .map(([id, { client }]) => ({ id, client }))
      .filter(({ client }) => client.isOpen);
  }

  /** Closes all connections. */
  close(): void {
    this.#relays.close();
    this.#stopPreparing();
    for (const { client } of this.#entries.values()) client.close();
  }

  #createClient(host: string): AdmissionClient {
    const { clock, events, identity, settings } = this.#deps;
    const { fleetKey } = settings;
    return new AdmissionClient({
      ...{ clock, events },
      credentials: { identity, fleetKey },
      owner: this.#createOwner(),
      engineConfiguration: () => this.#engineConfiguration(host),
      onChange: () => this.#callbacks.onChange(),
      onCrashSync: (message) => this.#callbacks.onCrashSync(message),
      onReport: (report) => this.#callbacks.onReport(report),
      serverNotices: () => this.#callbacks.serverNotices(),
      onServerNotice: (report) => this.#callbacks.onServerNotice(report),
      evacuations: () => this.#callbacks.evacuations(),
      onEvacuations: (report) => this.#callbacks.onEvacuations(report),
      onRequestLimit: (notice) => this.#callbacks.onRequestLimit(notice),
      onOrigin: (answer) => this.#callbacks.onOrigin(answer),
      onConnection: () => {
        this.#relays.handleConnectionChange();
        this.#callbacks.onConnection(host);
      },
    });
  }

  #createOwner(): ConnectionOwner {
    const { clock, metrics, profile } = this.#deps;
    return {
      ...{ clock, traffic: this.#traffic },
      ...(profile === undefined ? {} : { profile }),
      configurationVersion: () => this.#callbacks.table()?.version ?? 0,
      onReceived: (type) =>
        metrics?.count("oriole_received_messages_total", { type }),
    };
  }

  #engineConfiguration(host: string): EngineConfiguration | null {
    const server = latestStarted(
      this.#entries.get(host)?.servers.values() ?? [],
    );
    const table = this.#callbacks.table();
    if (server === null || table === null) return null;
    const engine = table.service(server.service)?.engine;
    if (!engine) return null;
    const coldTerms = this.#callbacks.coldTerms?.(server) ?? null;
    return {
      type: "engine-terms",
      version: table.version,
      server: server.id,
      startedAtMs: server.startedAtMs,
      slots: engine.slots,
      cacheTokens: engine.cacheTokens,
      tokensPerMs: this.#callbacks.expectedTokensPerMs(server.service),
      ...(coldTerms === null ? {} : { coldTerms }),
    };
  }
}

/** Returns the server that started last: only that one is running. */
function latestStarted(servers: Iterable<BackendServer>): BackendServer | null {
  let newest: BackendServer | null = null;
  for (const server of servers) {
    if (newest !== null && server.startedAtMs < newest.startedAtMs) continue;
    newest = server;
  }
  return newest;
}
