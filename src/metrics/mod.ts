/** Metrics of one process. */

export { type ProcessSources, register } from "./process_metrics.ts";
export { Registry } from "./registry.ts";
