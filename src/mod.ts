/** The library; the command line's daemons only wrap it. */

export * as configuration from "./configuration/mod.ts";
export * as fairness from "./fairness/mod.ts";
export * as platform from "./platform/mod.ts";
export { Router } from "./router/mod.ts";
export { SideProcess } from "./side_process/mod.ts";
