/** The process beside one backend server. */

import { randomUUID } from "node:crypto";
import type { ServiceBroker } from "moleculer";
import * as admin from "../admin/mod.ts";
import { type Clock, systemClock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { logger } from "../common/log.ts";
import { sleep } from "../common/signal.ts";
import {
  ActiveConfiguration,
  ConfigurationWatcher,
  type SideProcessSettings,
} from "../configuration/mod.ts";
import { CounterSpread, Ledger } from "../fairness/mod.ts";
import * as metrics from "../metrics/mod.ts";
import { type Instance, InstanceList, ObjectStore } from "../platform/mod.ts";
import {
  type Connection,
  type Identity,
  Listener,
  Traffic,
} from "../transport/mod.ts";
import { Attempts } from "./attempts.ts";
import { BackendClient } from "./backend_client.ts";
import { BackendWatch } from "./backend_watch.ts";
import { Dispatcher } from "./dispatcher.ts";
import {
  Arbiter,
  KeyGuard,
  KeyLeases,
  KeyMemory,
  WHOLE_HISTORY_MS,
} from "./keys/mod.ts";
import { Peers } from "./peers.ts";
import { Quarantine } from "./quarantine.ts";
import { RouterSession } from "./router_session.ts";
import { Runner } from "./runner.ts";

const log = logger("side-process");

const DEFAULT_GRANTS_AHEAD = 1;
const DEFAULT_SHUTDOWN_MS = 60_000;
/** Time between two looks for counters to spread. */
const SPREAD_MS = 50;
/** Time between two clean-ups. */
const SWEEP_MS = 1_000;
/** How often a shutdown looks whether work is still in progress. */
const DRAIN_CHECK_MS = 20;

/** One side process; `start` it, then `close` it. */
export class SideProcess {
  readonly #settings: SideProcessSettings;
  readonly #clock: Clock = systemClock;
  readonly #metrics = new metrics.Registry();
  readonly #traffic = new Traffic();
  readonly #active = new ActiveConfiguration(this.#clock);
  readonly #identity: Identity;
  readonly #ledger: Ledger;
  readonly #spread: CounterSpread;
  readonly #attempts = new Attempts(this.#clock);
  readonly #sessions = new Set<RouterSession>();
  readonly #connections = new Set<Connection>();
  readonly #store: ObjectStore;
  readonly #instances: InstanceList;
  readonly #backend: BackendClient;
  readonly #backendWatch: BackendWatch;
  readonly #dispatcher: Dispatcher;
  readonly #runner: Runner;
  readonly #memory = new KeyMemory(this.#clock);
  readonly #quarantine = new Quarantine(this.#clock);
  readonly #leases: KeyLeases;
  readonly #arbiter: Arbiter;
  readonly #peers: Peers;
  readonly #listener: Listener;
  readonly #watcher: ConfigurationWatcher;
  readonly #broker: ServiceBroker;
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(settings: SideProcessSettings) {
    const { instance, availabilityZone, fleetKey, backendServer } = settings;
    const clock = this.#clock;
    const active = this.#active;
    this.#settings = settings;
    this.#identity = {
      role: "side-process",
      instance,
      incarnation: randomUUID(),
      availabilityZone,
      service: backendServer.service,
    };
    const owner = {
      clock,
      traffic: this.#traffic,
      configurationVersion: () => active.version,
    };
    this.#ledger = new Ledger(this.#identity.incarnation);
    this.#spread = new CounterSpread(this.#ledger, clock);
    this.#store = new ObjectStore(settings.platformUrl);
    this.#instances = new InstanceList(settings.platformUrl, clock);
    this.#backend = new BackendClient(backendServer);
    this.#dispatcher = new Dispatcher(
      { clock, active, ledger: this.#ledger, spread: this.#spread },
      {
        slots: backendServer.slots,
        ahead: backendServer.grantsAhead ?? DEFAULT_GRANTS_AHEAD,
      },
    );
    this.#dispatcher.setPaused(true);
    this.#backendWatch = new BackendWatch(this.#backend, {
      up: () => this.#backendUp(),
      down: () => this.#backendDown(),
      restarted: () => this.#backendRestarted(),
    });
    const credentials = { identity: this.#identity, fleetKey };
    const quarantine = this.#quarantine;
    const memory = this.#memory;
    this.#peers = new Peers({
      ...{ clock, active, credentials, owner, memory, quarantine },
      ledger: this.#ledger,
      arbiter: () => this.#arbiter,
    });
    const { incarnation, service } = this.#identity;
    this.#leases = new KeyLeases({
      clock,
      store: this.#store,
      service,
      own: { instance, incarnation },
      historyBegins: () => memory.extend(WHOLE_HISTORY_MS),
      members: () => [instance, ...this.#peers.instances],
    });
    const peers = this.#peers;
    const leases = this.#leases;
    this.#arbiter = new Arbiter({ clock, leases, memory, peers, incarnation });
    this.#runner = new Runner({
      ...{ clock, quarantine },
      backend: this.#backend,
      attempts: this.#attempts,
      dispatcher: this.#dispatcher,
      metrics: this.#metrics,
      watch: this.#backendWatch,
      keys: new KeyGuard({
        ...{ clock, leases, memory, peers, instance, incarnation },
        arbiter: this.#arbiter,
      }),
      tellPeers: (message) => peers.broadcast(message),
    });
    this.#listener = new Listener(credentials, owner, {
      serve: (connection) => this.#serve(connection),
    });
    this.#watcher = new ConfigurationWatcher(this.#store, active, {
      instance,
      availabilityZone,
      instances: () => this.#instances.instances,
    });
    this.#broker = this.#createBroker();
  }

  /** Starts every task. Rejects when an address can't be bound. */
  async start(): Promise<void> {
    this.#active.onAdopted(() => this.#announce());
    await this.#listener.listen(this.#settings.link);
    await this.#broker.start();
    void this.#watcher.run();
    void this.#instances.run((list) => this.#listed(list));
    void this.#backendWatch.run();
    void this.#leases.run();
    this.#timers.push(setInterval(() => this.#spreadCounters(), SPREAD_MS));
    this.#timers.push(setInterval(() => this.#sweep(), SWEEP_MS));
    const { service } = this.#settings.backendServer;
    log.info(`Serves ${service} at ${this.#settings.backendServer.url}`);
  }

  /** Refuses new work, lets work in progress end, then stops. */
  async close(): Promise<void> {
    this.leave();
    const timeoutMs = this.#settings.shutdownMs ?? DEFAULT_SHUTDOWN_MS;
    const deadline = new Deadline(this.#clock, timeoutMs);
    while (this.#attempts.undelivered && !deadline.expired) {
      await sleep(DRAIN_CHECK_MS);
    }
    for (const timer of this.#timers) clearInterval(timer);
    await this.#leases.close();
    await this.#peers.handOver();
    this.#watcher.close();
    this.#instances.close();
    this.#backendWatch.close();
    this.#peers.close();
    await this.#listener.close();
    await this.#broker.stop();
    await this.#backend.close();
    await this.#store.close();
    log.info("Stopped");
  }

  /** Takes no new work from now on, and says so. */
  leave(): void {
    if (this.#runner.leaving) return;
    this.#runner.leave();
    for (const session of this.#sessions) session.sendLeaving();
    log.info("Is leaving");
  }

  async #serve(connection: Connection): Promise<void> {
    this.#connections.add(connection);
    if (connection.peer.role === "side-process") {
      await this.#peers.serve(connection);
    } else {
      await this.#serveRouter(connection);
    }
    this.#connections.delete(connection);
  }

  async #serveRouter(connection: Connection): Promise<void> {
    const session = new RouterSession(connection, {
      active: this.#active,
      attempts: this.#attempts,
      dispatcher: this.#dispatcher,
      runner: this.#runner,
    });
    this.#sessions.add(session);
    if (this.#runner.leaving) session.sendLeaving();
    await session.serve();
    this.#sessions.delete(session);
  }

  #announce(): void {
    for (const connection of this.#connections) connection.announce();
    this.#peers.announce();
  }

  #listed(list: readonly Instance[]): void {
    this.#peers.update(list);
    const own = list.find(({ name }) => name === this.#identity.instance);
    if (own?.state === "leaving") this.leave();
  }

  #backendUp(): void {
    if (!this.#runner.leaving) this.#dispatcher.setPaused(false);
    for (const session of this.#sessions) this.#dispatcher.welcome(session);
  }

  #backendDown(): void {
    this.#dispatcher.setPaused(true);
  }

  #backendRestarted(): void {
    for (const attempt of this.#attempts.inProgress) attempt.crash();
  }

  #spreadCounters(): void {
    // The quantum grows with the peers, so that the bytes sent do not.
    const shares = Math.max(1, this.#peers.count / 2);
    const quantum = this.#dispatcher.meanCost * shares;
    this.#peers.sendCounters(this.#spread.due(quantum));
  }

  #sweep(): void {
    this.#attempts.sweep();
    this.#ledger.collect();
    this.#spread.collect();
    this.#memory.sweep();
    this.#quarantine.sweep();
  }

  #createBroker(): ServiceBroker {
    const { admin: address, operatorKey } = this.#settings;
    metrics.register(this.#metrics, {
      traffic: this.#traffic,
      configurationVersion: () => this.#active.version,
      platformCalls: () => this.#store.calls + this.#instances.calls,
    });
    this.#metrics.gauge("oriole_running", () => this.#dispatcher.running);
    this.#metrics.gauge("oriole_ledger_teams", () => this.#ledger.size);
    return admin.createBroker(
      { ...address, operatorKey },
      {
        metrics: this.#metrics,
        ready: () => this.#isReady(),
        status: () => this.#status(),
      },
    );
  }

  #isReady(): boolean {
    return this.#active.version > 0 && this.#backendWatch.isUp;
  }

  #status(): object {
    const { role, instance, incarnation, service } = this.#identity;
    return {
      ...{ role, instance, incarnation, service },
      configurationVersion: this.#active.version,
      adoptedAtMs: this.#active.adoptedAtMs,
      leaving: this.#runner.leaving,
      backendUp: this.#backendWatch.isUp,
      running: this.#dispatcher.running,
      granted: this.#dispatcher.outstanding,
      free: this.#dispatcher.free,
      peers: this.#peers.count,
      keyRanges: this.#leases.held,
      keys: this.#memory.size,
      suspects: this.#quarantine.size,
      routers: this.#sessions.size,
      traffic: this.#traffic.totals,
      messages: Object.fromEntries(this.#traffic.messagesByType),
      normalisedService: this.#ledger.values(),
    };
  }
}
