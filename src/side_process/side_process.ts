/**
 * Runs one side process: connects routers and peers to the dispatcher of one
 * backend server.
 */

import type { ServiceBroker } from "moleculer";
import * as admin from "../admin/mod.ts";
import { systemClock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { logger } from "../common/log.ts";
import { sleep } from "../common/promises.ts";
import type { SideProcessSettings } from "../configuration/mod.ts";
import type { Instance } from "../platform/mod.ts";
import { type Connection, Listener } from "../transport/mod.ts";
import { type Components, createComponents } from "./components.ts";
import { RouterSession } from "./router_session.ts";
import { createStatusBroker } from "./status.ts";

const log = logger("side-process");

const DEFAULT_SHUTDOWN_TIMEOUT_MS = 60_000;
/** Time between checks for changed counters to send to the peers. */
const COUNTER_CHECK_INTERVAL_MS = 50;
/** Time between removals of expired state. */
const SWEEP_INTERVAL_MS = 1_000;
/** Time between checks during a shutdown for undelivered responses. */
const DRAIN_CHECK_INTERVAL_MS = 20;

/** One side process. Call `start`, and `close` at the end. */
export class SideProcess {
  readonly #settings: SideProcessSettings;
  readonly #deps: Components;
  readonly #sessions = new Set<RouterSession>();
  readonly #connections = new Set<Connection>();
  readonly #listener: Listener;
  readonly #broker: ServiceBroker;
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(settings: SideProcessSettings) {
    this.#settings = settings;
    this.#deps = createComponents(settings, systemClock, {
      listener: {
        up: () => this.#backendUp(),
        down: () => this.#deps.dispatcher.setPaused(true),
        restarted: () => this.#backendRestarted(),
      },
    });
    const { credentials, owner } = this.#deps;
    this.#listener = new Listener(credentials, owner, {
      serve: (connection) => this.#serve(connection),
    });
    this.#broker = createStatusBroker(settings, this.#deps, {
      routers: () => this.#sessions.size,
    });
  }

  /** Starts every task. Rejects if an address can't be bound. */
  async start(): Promise<void> {
    const { active, dispatcher, watcher, instances } = this.#deps;
    dispatcher.setPaused(true);
    active.onAdopted(() => this.#announceVersion());
    await this.#listener.listen(this.#settings.link);
    await admin.startBroker(this.#broker);
    void watcher.run();
    void instances.run((list) => this.#updateInstances(list));
    void this.#deps.healthMonitor.run();
    void this.#deps.leases.run();
    this.#timers.push(
      setInterval(() => this.#sendCounters(), COUNTER_CHECK_INTERVAL_MS),
    );
    this.#timers.push(setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS));
    const { service, url } = this.#settings.backendServer;
    log.info(`Serving ${service} at ${url}`);
  }

  /**
   * Refuses new runs, waits until responses in progress are delivered or the
   * shutdown timeout has passed, then hands over and stops.
   */
  async close(): Promise<void> {
    this.leave();
    const timeoutMs = this.#settings.shutdownMs ?? DEFAULT_SHUTDOWN_TIMEOUT_MS;
    const deadline = new Deadline(this.#deps.clock, timeoutMs);
    while (this.#deps.attempts.hasUndelivered && !deadline.expired) {
      await sleep(DRAIN_CHECK_INTERVAL_MS);
    }
    for (const timer of this.#timers) clearInterval(timer);
    await this.#deps.leases.close();
    await this.#deps.peers.handOver();
    this.#deps.watcher.close();
    this.#deps.instances.close();
    this.#deps.healthMonitor.close();
    this.#deps.peers.close();
    await this.#listener.close();
    await this.#broker.stop();
    await this.#deps.backend.close();
    await this.#deps.store.close();
    log.info("Stopped");
  }

  /** Refuses new runs from now on, and notifies the routers. */
  leave(): void {
    if (this.#deps.runner.leaving) return;
    this.#deps.runner.leave();
    for (const session of this.#sessions) session.sendLeaving();
    log.info("Leaving; new runs are refused");
  }

  async #serve(connection: Connection): Promise<void> {
    this.#closeEarlierConnections(connection);
    this.#connections.add(connection);
    if (connection.peer.role === "side-process") {
      await this.#deps.peers.serve(connection);
    } else {
      await this.#serveRouter(connection);
    }
    this.#connections.delete(connection);
  }

  /**
   * Closes earlier connections of the same process: a process that dials
   * again has given up its earlier connection.
   */
  #closeEarlierConnections(connection: Connection): void {
    const { incarnation } = connection.peer;
    for (const other of this.#connections) {
      if (other.peer.incarnation !== incarnation) continue;
      other.close("Peer opened a newer connection");
    }
  }

  async #serveRouter(connection: Connection): Promise<void> {
    const session = new RouterSession(connection, this.#deps);
    this.#sessions.add(session);
    if (this.#deps.runner.leaving) session.sendLeaving();
    await session.serve();
    this.#sessions.delete(session);
  }

  #announceVersion(): void {
    for (const connection of this.#connections) connection.sendHeartbeat();
    this.#deps.peers.announce();
  }

  #updateInstances(list: readonly Instance[]): void {
    this.#deps.peers.updateInstances(list);
    const { instance } = this.#settings;
    const own = list.find(({ name }) => name === instance);
    if (own?.state === "leaving") this.leave();
  }

  #backendUp(): void {
    const { runner, dispatcher } = this.#deps;
    if (runner.leaving) return;
    dispatcher.setPaused(false);
    for (const session of this.#sessions) dispatcher.sendAvailability(session);
  }

  #backendRestarted(): void {
    for (const attempt of this.#deps.attempts.inProgress) attempt.abort();
  }

  #sendCounters(): void {
    const { peers, dispatcher, publisher } = this.#deps;
    // Counters are sent after a larger change when there are more peers, so
    // that the number of bytes sent does not grow with the peers.
    const shares = Math.max(1, peers.count / 2);
    peers.sendCounters(publisher.takeDue(dispatcher.meanCost * shares));
  }

  #sweep(): void {
    this.#deps.attempts.sweep();
    this.#deps.ledger.collect();
    this.#deps.publisher.collect();
    this.#deps.memory.sweep();
    this.#deps.quarantine.sweep();
  }
}
