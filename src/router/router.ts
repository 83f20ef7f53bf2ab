/** The router process: accepts callers' requests and serves them. */

import { randomUUID } from "node:crypto";
import type { ServiceBroker } from "moleculer";
import * as admin from "../admin/mod.ts";
import { systemClock } from "../common/clock.ts";
import * as connectionReset from "../common/connection_reset.ts";
import { Deadline } from "../common/deadline.ts";
import { logger } from "../common/log.ts";
import { sleep } from "../common/promises.ts";
import {
  ActiveConfiguration,
  ConfigurationPeerSync,
  ConfigurationWatcher,
  type RouterSettings,
} from "../configuration/mod.ts";
import * as metrics from "../metrics/mod.ts";
import { InstanceList, ObjectStore } from "../platform/mod.ts";
import { BurnRecorder } from "../report/mod.ts";
import { type Identity, Traffic } from "../transport/mod.ts";
import { createEntry } from "./entry.ts";
import { RequestDispatcher } from "./request_dispatcher.ts";
import { RequestReader } from "./request_reader.ts";
import type { SideProcessPeer } from "./side_process_peer.ts";
import { SideProcessPool } from "./side_process_pool.ts";

const log = logger("router");

const DEFAULT_SHUTDOWN_MS = 60_000;
const DRAIN_CHECK_MS = 20;
/** How long requests stay queued after their service lost its last server. */
const NO_SERVER_GRACE_MS = 2_000;
const NO_SERVER_CHECK_MS = 250;

/** One router. Call `start` once, then `close` once. */
export class Router {
  readonly #settings: RouterSettings;
  readonly #clock = systemClock;
  readonly #metrics = new metrics.MetricsRegistry();
  readonly #traffic = new Traffic();
  readonly #activeConfiguration = new ActiveConfiguration(this.#clock);
  readonly #identity: Identity;
  readonly #store: ObjectStore;
  readonly #instances: InstanceList;
  readonly #sideProcessPool: SideProcessPool;
  readonly #burnRecorder = new BurnRecorder(
    this.#clock,
    this.#activeConfiguration,
  );
  readonly #dispatcher: RequestDispatcher;
  readonly #configurationWatcher: ConfigurationWatcher;
  readonly #broker: ServiceBroker;
  /** By service without a usable server: when its queued requests fail. */
  readonly #noServerDeadlines = new Map<string, Deadline>();
  #noServerTimer: NodeJS.Timeout | null = null;
  #closing = false;

  constructor(settings: RouterSettings) {
    const { instance, availabilityZone, fleetKey, platformUrl } = settings;
    this.#settings = settings;
    this.#identity = {
      role: "router",
      instance,
      incarnation: randomUUID(),
      availabilityZone,
      service: "",
    };
    this.#store = new ObjectStore(platformUrl);
    this.#instances = new InstanceList(platformUrl);
    this.#sideProcessPool = new SideProcessPool({
      clock: this.#clock,
      configurationSync: new ConfigurationPeerSync(
        this.#activeConfiguration,
        this.#clock,
      ),
      credentials: { identity: this.#identity, fleetKey },
      owner: {
        clock: this.#clock,
        traffic: this.#traffic,
        configurationVersion: () => this.#activeConfiguration.version,
      },
      listener: {
        onGrant: (peer, grant) => this.#dispatcher.handleGrant(peer, grant),
        onConnected: (peer) => this.#dispatcher.reannounceDemand(peer),
        onDisconnected: (peer) => {
          this.#dispatcher.reannounceDemand(peer);
          this.#startNoServerGrace(peer);
        },
        hasAlternative: ({ instance }) =>
          this.#sideProcessPool.usablePeers(instance.service).length > 0,
      },
    });
    this.#dispatcher = new RequestDispatcher({
      clock: this.#clock,
      pool: this.#sideProcessPool,
      metrics: this.#metrics,
      burnRecorder: this.#burnRecorder,
    });
    this.#configurationWatcher = new ConfigurationWatcher(
      this.#store,
      this.#activeConfiguration,
      {
        instance,
        availabilityZone,
        instances: () => this.#instances.instances,
      },
    );
    this.#broker = this.#createBroker();
  }

  /**
   * Starts listening and the background tasks. Rejects if an address can't be
   * bound.
   */
  async start(): Promise<void> {
    connectionReset.load().mapErr((reason) => {
      log.warn(`Truncated responses without a length won't show: ${reason}`);
    });
    this.#activeConfiguration.onAdopted(() =>
      this.#sideProcessPool.announceConfiguration(),
    );
    void this.#configurationWatcher.run();
    void this.#instances.run((list) => this.#sideProcessPool.update(list));
    await admin.startBroker(this.#broker);
    this.#noServerTimer = setInterval(
      () => this.#failServicesWithoutServer(),
      NO_SERVER_CHECK_MS,
    );
    const { host, port } = this.#settings.entry;
    log.info(`Listening for requests at ${host}:${port}`);
  }

  /**
   * Shuts down gracefully: accepts no new requests, waits up to `shutdownMs`
   * for those in progress, then closes every connection.
   */
  async close(): Promise<void> {
    this.#closing = true;
    const stopped = this.#broker.stop();
    const timeoutMs = this.#settings.shutdownMs ?? DEFAULT_SHUTDOWN_MS;
    const deadline = new Deadline(this.#clock, timeoutMs);
    while (this.#dispatcher.openCount > 0 && !deadline.expired) {
      await sleep(DRAIN_CHECK_MS);
    }
    if (this.#noServerTimer !== null) clearInterval(this.#noServerTimer);
    this.#configurationWatcher.close();
    this.#instances.close();
    this.#sideProcessPool.close();
    await stopped;
    await this.#store.close();
    log.info("Stopped");
  }

  #createBroker(): ServiceBroker {
    const { admin: address, operatorKey, entry } = this.#settings;
    metrics.register(this.#metrics, {
      traffic: this.#traffic,
      configurationVersion: () => this.#activeConfiguration.version,
      platformCalls: () => this.#store.calls + this.#instances.calls,
    });
    this.#metrics.gauge(
      "oriole_open_requests",
      () => this.#dispatcher.openCount,
    );
    this.#metrics.gauge(
      "oriole_waiting_requests",
      () => this.#dispatcher.waitingCount,
    );
    const broker = admin.createBroker(
      { ...address, operatorKey },
      {
        metrics: this.#metrics,
        ready: () => this.#isReady(),
        status: () => this.#status(),
        pages: { "/burn": () => ({ counts: this.#burnRecorder.counts() }) },
      },
    );
    const reader = new RequestReader({
      clock: this.#clock,
      configuration: this.#activeConfiguration,
      availabilityZone: this.#identity.availabilityZone,
    });
    const { incarnation } = this.#identity;
    const deps = {
      reader,
      dispatcher: this.#dispatcher,
      incarnation,
    };
    createEntry(broker, deps, entry);
    return broker;
  }

  #startNoServerGrace(peer: SideProcessPeer): void {
    const { service } = peer.instance;
    if (this.#sideProcessPool.usablePeers(service).length > 0) return;
    if (this.#noServerDeadlines.has(service)) return;
    const deadline = new Deadline(this.#clock, NO_SERVER_GRACE_MS);
    this.#noServerDeadlines.set(service, deadline);
  }

  #failServicesWithoutServer(): void {
    for (const [service, deadline] of this.#noServerDeadlines) {
      if (this.#sideProcessPool.usablePeers(service).length > 0) {
        this.#noServerDeadlines.delete(service);
      } else if (deadline.expired) {
        this.#dispatcher.failWaiting(service);
      }
    }
  }

  #isReady(): boolean {
    if (this.#closing || this.#activeConfiguration.version === 0) return false;
    return [...this.#sideProcessPool.peers].some(({ usable }) => usable);
  }

  #status(): object {
    const { role, instance, incarnation } = this.#identity;
    return {
      ...{ role, instance, incarnation },
      configurationVersion: this.#activeConfiguration.version,
      adoptedAtMs: this.#activeConfiguration.adoptedAtMs,
      open: this.#dispatcher.openCount,
      waiting: this.#dispatcher.waitingCount,
      inProgress: this.#sideProcessPool.inProgress,
      sideProcesses: [...this.#sideProcessPool.peers].filter(
        ({ usable }) => usable,
      ).length,
      traffic: this.#traffic.totals,
      messages: Object.fromEntries(this.#traffic.messagesByType),
    };
  }
}
