/**
 * What requests cost engines: learned by admission controllers from the
 * requests of all routers, and used by routers to place further ones.
 */

export { type EngineDemand, ownerCount } from "./owner_count.ts";
export * as paceCost from "./pace_cost.ts";
export { type BusyPart, PartDemand } from "./part_demand.ts";
export { PrefillPace } from "./prefill_pace.ts";
