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
  parts: Components,
  { routers }: { readonly routers: () => number },
): ServiceBroker {
  registerMetrics(parts);
  return admin.createBroker(
    { ...address, operatorKey },
    {
      metrics: parts.metrics,
      ready: () => parts.active.version > 0 && parts.healthMonitor.isUp,
      status: () => statusOf(parts, routers()),
    },
  );
}

function registerMetrics(parts: Components): void {
  const { metrics: registry, traffic, dispatcher, ledger } = parts;
  metrics.register(registry, {
    traffic,
    configurationVersion: () => parts.active.version,
    platformCalls: () => parts.store.calls + parts.instances.calls,
  });
  registry.gauge("oriole_running", () => dispatcher.running);
  registry.gauge("oriole_ledger_teams", () => ledger.size);
  for (const state of SLOT_STATES) {
    registry.gauge(`oriole_slot_seconds_${state}`, () =>
      dispatcher.slotTime.seconds(state),
    );
  }
  registry.gauge("oriole_keys", () => parts.memory.size);
  registry.gauge("oriole_suspects", () => parts.quarantine.size);
}

function statusOf(parts: Components, routers: number): object {
  const { role, instance, incarnation, service } = parts.credentials.identity;
  const { active, dispatcher, traffic } = parts;
  return {
    ...{ role, instance, incarnation, service, routers },
    configurationVersion: active.version,
    adoptedAtMs: active.adoptedAtMs,
    leaving: parts.runner.leaving,
    backendUp: parts.healthMonitor.isUp,
    running: dispatcher.running,
    granted: dispatcher.outstanding,
    free: dispatcher.free,
    peers: parts.peers.count,
    keyRanges: parts.leases.heldRanges,
    keys: parts.memory.size,
    suspects: parts.quarantine.size,
    traffic: traffic.totals,
    messages: Object.fromEntries(traffic.messagesByType),
    normalisedService: parts.ledger.totalServices(),
  };
}
