/** Settings of one process, and the fleet's configuration document. */

export { ActiveConfiguration, hashKey } from "./active.ts";
export {
  type ApplyError,
  apply,
  readRecord,
  type VersionedRecord,
} from "./apply.ts";
export {
  type Contract,
  type Document,
  type Meter,
  type RequestOverrides,
  type Rule,
  type RuleAction,
  type Service,
  type Target,
  type Team,
  versionedName,
} from "./document.ts";
export { JsonText } from "./json_text.ts";
export { ConfigurationPeerSync } from "./peer_sync.ts";
export {
  explain,
  findMatchingRule,
  type RequestFacts,
  type RuleEvaluation,
} from "./rule.ts";
export { findReferenceErrors, findUnreachableRules } from "./semantics.ts";
export {
  type BackendServer,
  loadSettings,
  type RouterSettings,
  routerSettingsSchema,
  type SideProcessSettings,
  sideProcessSettingsSchema,
} from "./settings.ts";
export { readDocument, type StoredDocument } from "./stored_document.ts";
export { parseDocument, validate } from "./validation.ts";
export { ConfigurationWatcher } from "./watcher.ts";
