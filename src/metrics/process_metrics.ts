/** Metrics that every process exports. */

import type { Traffic } from "../transport/mod.ts";
import type { MetricsRegistry } from "./registry.ts";

/** Where the metrics are read from. */
export interface ProcessSources {
  readonly traffic: Traffic;
  configurationVersion(): number;
  platformCalls(): number;
}

/** Registers the metrics that all processes export. */
export function register(
  registry: MetricsRegistry,
  sources: ProcessSources,
): void {
  const { totals } = sources.traffic;
  registry.gauge("oriole_configuration_version", () =>
    sources.configurationVersion(),
  );
  registry.gauge("oriole_control_bytes", () => totals.controlBytes);
  registry.gauge("oriole_control_messages", () => totals.controlMessages);
  registry.gauge("oriole_body_bytes", () => totals.bodyBytes);
  registry.gauge("oriole_platform_calls", () => sources.platformCalls());
  registerResourceMetrics(registry);
}

/** Registers the CPU time and memory that the process uses. */
export function registerResourceMetrics(registry: MetricsRegistry): void {
  registry.gauge("oriole_cpu_seconds", () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1e6;
  });
  registry.gauge("oriole_resident_bytes", () => process.memoryUsage.rss());
}
