/** The process beside one backend server. */

import type { ServiceBroker } from "moleculer";
import { systemClock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { logger } from "../common/log.ts";
import { sleep } from "../common/signal.ts";
import type { SideProcessSettings } from "../configuration/mod.ts";
import type { Instance } from "../platform/mod.ts";
import { type Connection, Listener } from "../transport/mod.ts";
import { type Components, createComponents } from "./components.ts";
import { RouterSession } from "./router_session.ts";
import { createStatusBroker } from "./status.ts";

const log = logger("side-process");

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
  readonly #parts: Components;
  readonly #sessions = new Set<RouterSession>();
  readonly #connections = new Set<Connection>();
  readonly #listener: Listener;
  readonly #broker: ServiceBroker;
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(settings: SideProcessSettings) {
    this.#settings = settings;
    this.#parts = createComponents(settings, systemClock, {
      listener: {
        up: () => this.#backendUp(),
        down: () => this.#parts.dispatcher.setPaused(true),
        restarted: () => this.#backendRestarted(),
      },
    });
    const { credentials, owner } = this.#parts;
    this.#listener = new Listener(credentials, owner, {
      serve: (connection) => this.#serve(connection),
    });
    this.#broker = createStatusBroker(settings, this.#parts, {
      routers: () => this.#sessions.size,
    });
  }

  /** Starts every task. Rejects when an address can't be bound. */
  async start(): Promise<void> {
    const { active, dispatcher, watcher, instances } = this.#parts;
    dispatcher.setPaused(true);
    active.onAdopted(() => this.#announce());
    await this.#listener.listen(this.#settings.link);
    await this.#broker.start();
    void watcher.run();
    void instances.run((list) => this.#listed(list));
    void this.#parts.healthMonitor.run();
    void this.#parts.leases.run();
    this.#timers.push(setInterval(() => this.#spreadCounters(), SPREAD_MS));
    this.#timers.push(setInterval(() => this.#sweep(), SWEEP_MS));
    const { service, url } = this.#settings.backendServer;
    log.info(`Serves ${service} at ${url}`);
  }

  /** Refuses new work, lets work in progress end, then stops. */
  async close(): Promise<void> {
    this.leave();
    const timeoutMs = this.#settings.shutdownMs ?? DEFAULT_SHUTDOWN_MS;
    const deadline = new Deadline(this.#parts.clock, timeoutMs);
    while (this.#parts.attempts.hasUndelivered && !deadline.expired) {
      await sleep(DRAIN_CHECK_MS);
    }
    for (const timer of this.#timers) clearInterval(timer);
    await this.#parts.leases.close();
    await this.#parts.peers.handOver();
    this.#parts.watcher.close();
    this.#parts.instances.close();
    this.#parts.healthMonitor.close();
    this.#parts.peers.close();
    await this.#listener.close();
    await this.#broker.stop();
    await this.#parts.backend.close();
    await this.#parts.store.close();
    log.info("Stopped");
  }

  /** Takes no new work from now on, and says so. */
  leave(): void {
    if (this.#parts.runner.leaving) return;
    this.#parts.runner.leave();
    for (const session of this.#sessions) session.sendLeaving();
    log.info("Is leaving");
  }

  async #serve(connection: Connection): Promise<void> {
    this.#supersede(connection);
    this.#connections.add(connection);
    if (connection.peer.role === "side-process") {
      await this.#parts.peers.serve(connection);
    } else {
      await this.#serveRouter(connection);
    }
    this.#connections.delete(connection);
  }

  /** A peer that dials again has given up its earlier connection. */
  #supersede(connection: Connection): void {
    const { incarnation } = connection.peer;
    for (const other of this.#connections) {
      if (other.peer.incarnation !== incarnation) continue;
      other.close("Its peer has opened a newer one");
    }
  }

  async #serveRouter(connection: Connection): Promise<void> {
    const session = new RouterSession(connection, this.#parts);
    this.#sessions.add(session);
    if (this.#parts.runner.leaving) session.sendLeaving();
    await session.serve();
    this.#sessions.delete(session);
  }

  #announce(): void {
    for (const connection of this.#connections) connection.announce();
    this.#parts.peers.announce();
  }

  #listed(list: readonly Instance[]): void {
    this.#parts.peers.update(list);
    const { instance } = this.#settings;
    const own = list.find(({ name }) => name === instance);
    if (own?.state === "leaving") this.leave();
  }

  #backendUp(): void {
    const { runner, dispatcher } = this.#parts;
    if (runner.leaving) return;
    dispatcher.setPaused(false);
    for (const session of this.#sessions)
      dispatcher.announceAvailability(session);
  }

  #backendRestarted(): void {
    for (const attempt of this.#parts.attempts.inProgress) attempt.crash();
  }

  #spreadCounters(): void {
    const { peers, dispatcher, spread } = this.#parts;
    // The quantum grows with the peers, so that the bytes sent do not.
    const shares = Math.max(1, peers.count / 2);
    peers.sendCounters(spread.due(dispatcher.meanCost * shares));
  }

  #sweep(): void {
    this.#parts.attempts.sweep();
    this.#parts.ledger.collect();
    this.#parts.spread.collect();
    this.#parts.memory.sweep();
    this.#parts.quarantine.sweep();
  }
}
