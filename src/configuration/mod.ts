/** Settings of processes and the operators' document. */

export { ActiveConfiguration, hashKey } from "./active.ts";
export {
  type ApplyError,
  apply,
  read,
  type VersionedRecord,
} from "./apply.ts";
export type {
  Contract,
  Document,
  Meter,
  Rule,
  Service,
  Target,
  Team,
  Then,
  Treatment,
} from "./document.ts";
export { decide, explain, type RequestFacts, type Trial } from "./rule.ts";
export {
  type BackendServer,
  load,
  type RouterSettings,
  routerSettings,
  type SideProcessSettings,
  sideProcessSettings,
} from "./settings.ts";
export * as spread from "./spread.ts";
export { validate } from "./validation.ts";
export { ConfigurationWatcher } from "./watcher.ts";
