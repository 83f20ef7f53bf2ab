/** The library that the daemons are thin shells of. */

export * as configuration from "./configuration/mod.ts";
export * as fairness from "./fairness/mod.ts";
export * as platform from "./platform/mod.ts";
export { Router } from "./router/mod.ts";
export { SideProcess } from "./side_process/mod.ts";
