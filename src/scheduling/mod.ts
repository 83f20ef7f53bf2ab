/**
 * Chooses the server for each request, queues requests while no server has
 * capacity, and refuses those that can't be served in time.
 */

export type { ColdLoads, ColdTerms } from "./cold_loads.ts";
export { COLD_SHARE_OF_RATE } from "./cold_share.ts";
export type { Decision, Placement } from "./decision.ts";
export * from "./demand.ts";
export * from "./engine_admission.ts";
export * as engineCapacity from "./engine_capacity.ts";
export * from "./outcome.ts";
export { MAX_FAILURE_SHARE } from "./placement.ts";
export { PredictedCache } from "./predicted_cache.ts";
export { PrefillRate, SMALLEST_SAMPLE_TOKENS } from "./prefill_rate.ts";
export { ownersOf } from "./prefix_owners.ts";
export { SHORT_RETRY_AFTER_MS, withJitter } from "./refusal.ts";
export { topRanked } from "./rendezvous.ts";
export { type LimitObservation, RequestLimit } from "./request_limit.ts";
export {
  type RequestInFlight,
  RequestsInFlight,
} from "./requests_in_flight.ts";
export * from "./scheduler.ts";
export { ServerHealth } from "./server_health.ts";
export type { ServerLoad } from "./server_load.ts";
export * as work from "./work.ts";
