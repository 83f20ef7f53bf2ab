/** Metrics of one process. */

export {
  type ProcessSources,
  register,
  registerResourceMetrics,
} from "./process_metrics.ts";
export { MetricsRegistry } from "./registry.ts";
