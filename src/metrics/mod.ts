/** Metrics of one process. */

export {
  type ProcessSources,
  register,
  registerUse,
} from "./process_metrics.ts";
export { Registry } from "./registry.ts";
