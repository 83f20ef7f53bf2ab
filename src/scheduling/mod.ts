/**
 * Chooses the server for each request, queues requests while no server has
 * capacity, and refuses those that can't be served in time.
 */

export * from "./demand.ts";
export * as engineRoom from "./engine_capacity.ts";
export * from "./gate_client.ts";
export * from "./outcome.ts";
export { LEFT_OUT_SHARE, ownersOf } from "./placement.ts";
export { PromptMemory } from "./predicted_cache.ts";
export { ReadingRate, SMALLEST_SAMPLE_TOKENS } from "./prefill_rate.ts";
export { type Run, RunningWork } from "./requests_in_flight.ts";
export * from "./scheduler.ts";
export { ServerHealth } from "./server_health.ts";
export type { ServerLoad } from "./server_load.ts";
export * as work from "./work.ts";
