/** Creates the objects of a side process and connects them. */

import { randomUUID } from "node:crypto";
import type { Clock } from "../common/clock.ts";
import {
  ActiveConfiguration,
  ConfigurationPeerSync,
  ConfigurationWatcher,
  type SideProcessSettings,
} from "../configuration/mod.ts";
import { Ledger, UpdatePublisher } from "../fairness/mod.ts";
import * as metrics from "../metrics/mod.ts";
import { InstanceList, ObjectStore } from "../platform/mod.ts";
import { Quarantine } from "../quarantine/mod.ts";
import {
  type ConnectionOwner,
  type Credentials,
  type Identity,
  Traffic,
} from "../transport/mod.ts";
import { AttemptRegistry } from "./attempt_registry.ts";
import { BackendClient } from "./backend_client.ts";
import { Dispatcher } from "./dispatcher.ts";
import { type HealthListener, HealthMonitor } from "./health_monitor.ts";
import {
  Arbiter,
  KeyGuard,
  KeyLeases,
  KeyMemory,
  WHOLE_HISTORY_MS,
} from "./keys/mod.ts";
import { Peers } from "./peers.ts";
import { Runner } from "./runner.ts";

/** Requests granted beyond the server's slots. */
const DEFAULT_GRANTS_AHEAD = 1;

/** Objects that a side process consists of. */
export interface Components {
  readonly clock: Clock;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  readonly metrics: metrics.MetricsRegistry;
  readonly traffic: Traffic;
  readonly active: ActiveConfiguration;
  readonly configurationSync: ConfigurationPeerSync;
  readonly store: ObjectStore;
  readonly instances: InstanceList;
  readonly watcher: ConfigurationWatcher;
  readonly backend: BackendClient;
  readonly healthMonitor: HealthMonitor;
  readonly ledger: Ledger;
  readonly publisher: UpdatePublisher;
  readonly dispatcher: Dispatcher;
  readonly attempts: AttemptRegistry;
  readonly memory: KeyMemory;
  readonly leases: KeyLeases;
  readonly quarantine: Quarantine;
  readonly peers: Peers;
  readonly runner: Runner;
}

/** Creates all objects; starts no task and opens no connection. */
export function createComponents(
  settings: SideProcessSettings,
  clock: Clock,
  { listener }: { readonly listener: HealthListener },
): Components {
  const { instance, availabilityZone, platformUrl } = settings;
  const credentials = createCredentials(settings);
  const { incarnation } = credentials.identity;
  const active = new ActiveConfiguration(clock);
  const traffic = new Traffic();
  const configurationVersion = () => active.version;
  const owner: ConnectionOwner = { clock, traffic, configurationVersion };
  const registry = new metrics.MetricsRegistry();
  const configurationSync = new ConfigurationPeerSync(active, clock);
  const store = new ObjectStore(platformUrl);
  const instances = new InstanceList(platformUrl);
  const watcher = new ConfigurationWatcher(store, active, {
    ...{ instance, availabilityZone },
    instances: () => instances.instances,
  });
  const backend = new BackendClient(settings.backendServer);
  const healthMonitor = new HealthMonitor(backend, listener);
  const ledger = new Ledger(incarnation);
  const publisher = new UpdatePublisher(ledger, clock);
  const { slots, grantsAhead = DEFAULT_GRANTS_AHEAD } = settings.backendServer;
  const shared = { clock, active, ledger, publisher };
  const dispatcher = new Dispatcher(shared, { slots, grantsAhead });
  const attempts = new AttemptRegistry(clock);
  const memory = new KeyMemory(clock);
  const quarantine = new Quarantine(clock);
  const peers = new Peers({
    ...{ clock, credentials, owner, memory, quarantine, ledger },
    ...{ configurationSync, incarnation },
    arbiter: () => arbiter,
  });
  const { leases, arbiter, keys } = createKeyComponents({
    ...{ clock, store, memory, peers },
    identity: credentials.identity,
  });
  const runner = new Runner({
    ...{ clock, quarantine, backend, attempts, dispatcher, keys },
    metrics: registry,
    healthMonitor,
    broadcast: (message) => peers.broadcast(message),
  });
  return {
    ...{ clock, credentials, owner, traffic, active, store, instances },
    configurationSync,
    ...{ watcher, backend, healthMonitor, ledger, publisher, dispatcher },
    ...{ attempts, memory, leases, quarantine, peers, runner },
    metrics: registry,
  };
}

/** Dependencies of the components for idempotency keys. */
interface KeyDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly memory: KeyMemory;
  readonly peers: Peers;
  readonly identity: Identity;
}

function createKeyComponents({
  clock,
  store,
  memory,
  peers,
  identity,
}: KeyDependencies): {
  readonly leases: KeyLeases;
  readonly arbiter: Arbiter;
  readonly keys: KeyGuard;
} {
  const { instance, incarnation, service } = identity;
  const leases = new KeyLeases({
    ...{ clock, store, service },
    own: { instance, incarnation },
    onNeverHeld: () => memory.extendAge(WHOLE_HISTORY_MS),
    instances: () => [instance, ...peers.instances],
  });
  const arbiter = new Arbiter({ clock, leases, memory, peers, incarnation });
  const keys = new KeyGuard({
    ...{ clock, leases, memory, peers, arbiter, instance, incarnation },
  });
  return { leases, arbiter, keys };
}

function createCredentials(settings: SideProcessSettings): Credentials {
  const { instance, availabilityZone, fleetKey, backendServer } = settings;
  const identity = {
    role: "side-process" as const,
    instance,
    incarnation: randomUUID(),
    availabilityZone,
    service: backendServer.service,
  };
  return { identity, fleetKey };
}
