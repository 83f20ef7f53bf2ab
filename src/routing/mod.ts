/** Configured routes, services and teams, and their lookup. */

export * from "./fleet_configuration.ts";
export * from "./route.ts";
export * from "./route_table.ts";
export * from "./zone_regions.ts";
