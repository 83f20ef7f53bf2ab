/** Metrics and status report of a side process, for operators. */

import type { ServiceBroker } from "moleculer";
import * as admin from "../admin/mod.ts";
import type { SideProcessSettings } from "../configuration/mod.ts";
import * as metrics from "../metrics/mod.ts";
import type { Components } from "./components.ts";
import { SLOT_STATES } from "./slot_time.ts";

/** Registers the metrics, and creates the broker of the admin endpoints. */
export function createStatusBroker(
  { admin: address, operatorKey }: SideProcessSettings,
  components: Components,
  { routers }: { readonly routers: () => number },
): ServiceBroker {
  registerMetrics(components);
  return admin.createBroker(
    { ...address, operatorKey },
    {
      metrics: components.metrics,
      ready: () =>
        components.active.version > 0 && components.healthMonitor.isUp,
      status: () => statusOf(components, routers()),
    },
  );
}

function registerMetrics(components: Components): void {
  const { metrics: registry, traffic, dispatcher, ledger } = components;
  metrics.register(registry, {
    traffic,
    configurationVersion: () => components.active.version,
    platformCalls: () => components.store.calls + components.instances.calls,
  });
  registry.gauge("oriole_running", () => dispatcher.running);
  registry.gauge("oriole_ledger_teams", () => ledger.size);
  for (const state of SLOT_STATES) {
    registry.gauge(`oriole_slot_seconds_${state}`, () =>
      dispatcher.slotTime.seconds(state),
    );
  }
  registry.gauge("oriole_keys", () => components.memory.size);
  registry.gauge("oriole_suspects", () => components.quarantine.size);
}

function statusOf(components: Components, routers: number): object {
  const { role, instance, incarnation, service } =
    components.credentials.identity;
  const { active, dispatcher, traffic } = components;
  return {
    ...{ role, instance, incarnation, service, routers },
    configurationVersion: active.version,
    adoptedAtMs: active.adoptedAtMs,
    leaving: components.runner.leaving,
    backendUp: components.healthMonitor.isUp,
    running: dispatcher.running,
    granted: dispatcher.outstanding,
    free: dispatcher.free,
    peers: components.peers.count,
    keyRanges: components.leases.heldRanges,
    keys: components.memory.size,
    suspects: components.quarantine.size,
    traffic: traffic.totals,
    messages: Object.fromEntries(traffic.messagesByType),
    normalisedService: components.ledger.totalServices(),
  };
}
