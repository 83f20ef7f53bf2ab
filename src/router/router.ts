/** The entry instance that callers connect to. */

import { randomUUID } from "node:crypto";
import type { ServiceBroker } from "moleculer";
import * as admin from "../admin/mod.ts";
import { systemClock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { logger } from "../common/log.ts";
import { sleep } from "../common/signal.ts";
import {
  ActiveConfiguration,
  ConfigurationSpread,
  ConfigurationWatcher,
  type RouterSettings,
} from "../configuration/mod.ts";
import * as metrics from "../metrics/mod.ts";
import { InstanceList, ObjectStore } from "../platform/mod.ts";
import { BurnRecorder } from "../report/mod.ts";
import { type Identity, Traffic } from "../transport/mod.ts";
import { createEntry } from "./entry.ts";
import { Fleet } from "./fleet.ts";
import { Reader } from "./reader.ts";
import { Serving } from "./serving.ts";
import type { SidePeer } from "./side_peer.ts";

const log = logger("router");

const DEFAULT_SHUTDOWN_MS = 60_000;
const DRAIN_CHECK_MS = 20;
/** How long requests wait for a service that lost its last server. */
const NO_SERVER_GRACE_MS = 2_000;
const NO_SERVER_CHECK_MS = 250;

/** One router; `start` it, then `close` it. */
export class Router {
  readonly #settings: RouterSettings;
  readonly #clock = systemClock;
  readonly #metrics = new metrics.Registry();
  readonly #traffic = new Traffic();
  readonly #active = new ActiveConfiguration(this.#clock);
  readonly #identity: Identity;
  readonly #store: ObjectStore;
  readonly #instances: InstanceList;
  readonly #fleet: Fleet;
  readonly #burn = new BurnRecorder(this.#clock, this.#active);
  readonly #serving: Serving;
  readonly #watcher: ConfigurationWatcher;
  readonly #broker: ServiceBroker;
  /** When each service was first seen without a server. */
  readonly #withoutServer = new Map<string, Deadline>();
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
    this.#fleet = new Fleet({
      clock: this.#clock,
      configurationSpread: new ConfigurationSpread(this.#active, this.#clock),
      credentials: { identity: this.#identity, fleetKey },
      owner: {
        clock: this.#clock,
        traffic: this.#traffic,
        configurationVersion: () => this.#active.version,
      },
      listener: {
        granted: (peer, grant) => this.#serving.granted(peer, grant),
        connected: (peer) => this.#serving.renewDemand(peer),
        disconnected: (peer) => {
          this.#serving.renewDemand(peer);
          this.#noteServers(peer);
        },
        hasAlternative: ({ instance }) =>
          this.#fleet.usable(instance.service).length > 0,
      },
    });
    this.#serving = new Serving({
      clock: this.#clock,
      fleet: this.#fleet,
      metrics: this.#metrics,
      burn: this.#burn,
    });
    this.#watcher = new ConfigurationWatcher(this.#store, this.#active, {
      instance,
      availabilityZone,
      instances: () => this.#instances.instances,
    });
    this.#broker = this.#createBroker();
  }

  /** Starts every task. Rejects when an address can't be bound. */
  async start(): Promise<void> {
    this.#active.onAdopted(() => this.#fleet.announce());
    void this.#watcher.run();
    void this.#instances.run((list) => this.#fleet.update(list));
    await this.#broker.start();
    this.#noServerTimer = setInterval(
      () => this.#giveUpWithoutServer(),
      NO_SERVER_CHECK_MS,
    );
    const { host, port } = this.#settings.entry;
    log.info(`Takes requests at ${host}:${port}`);
  }

  /** Takes no new requests, serves those that came, then stops. */
  async close(): Promise<void> {
    this.#closing = true;
    const stopped = this.#broker.stop();
    const timeoutMs = this.#settings.shutdownMs ?? DEFAULT_SHUTDOWN_MS;
    const deadline = new Deadline(this.#clock, timeoutMs);
    while (this.#serving.open > 0 && !deadline.expired) {
      await sleep(DRAIN_CHECK_MS);
    }
    if (this.#noServerTimer !== null) clearInterval(this.#noServerTimer);
    this.#watcher.close();
    this.#instances.close();
    this.#fleet.close();
    await stopped;
    await this.#store.close();
    log.info("Stopped");
  }

  #createBroker(): ServiceBroker {
    const { admin: address, operatorKey, entry } = this.#settings;
    metrics.register(this.#metrics, {
      traffic: this.#traffic,
      configurationVersion: () => this.#active.version,
      platformCalls: () => this.#store.calls + this.#instances.calls,
    });
    this.#metrics.gauge("oriole_open_requests", () => this.#serving.open);
    this.#metrics.gauge("oriole_waiting_requests", () => this.#serving.waiting);
    const broker = admin.createBroker(
      { ...address, operatorKey },
      {
        metrics: this.#metrics,
        ready: () => this.#isReady(),
        status: () => this.#status(),
        pages: { "/burn": () => ({ counts: this.#burn.counts() }) },
      },
    );
    const reader = new Reader({
      clock: this.#clock,
      active: this.#active,
      availabilityZone: this.#identity.availabilityZone,
    });
    const { incarnation } = this.#identity;
    const parts = { reader, serving: this.#serving, incarnation };
    createEntry(broker, parts, entry);
    return broker;
  }

  #noteServers(peer: SidePeer): void {
    const { service } = peer.instance;
    if (this.#fleet.usable(service).length > 0) return;
    if (this.#withoutServer.has(service)) return;
    const deadline = new Deadline(this.#clock, NO_SERVER_GRACE_MS);
    this.#withoutServer.set(service, deadline);
  }

  #giveUpWithoutServer(): void {
    for (const [service, deadline] of this.#withoutServer) {
      if (this.#fleet.usable(service).length > 0) {
        this.#withoutServer.delete(service);
      } else if (deadline.expired) {
        this.#serving.giveUp(service);
      }
    }
  }

  #isReady(): boolean {
    if (this.#closing || this.#active.version === 0) return false;
    return [...this.#fleet.peers].some(({ usable }) => usable);
  }

  #status(): object {
    const { role, instance, incarnation } = this.#identity;
    return {
      ...{ role, instance, incarnation },
      configurationVersion: this.#active.version,
      adoptedAtMs: this.#active.adoptedAtMs,
      open: this.#serving.open,
      waiting: this.#serving.waiting,
      inProgress: this.#fleet.inProgress,
      sideProcesses: [...this.#fleet.peers].filter(({ usable }) => usable)
        .length,
      traffic: this.#traffic.totals,
      messages: Object.fromEntries(this.#traffic.messagesByType),
    };
  }
}
