/** Reports for operators. */

export {
  type BurnCounts,
  type BurnLine,
  burnLines,
  type Cause,
} from "./burn.ts";
export { BurnRecorder, type Experience } from "./burn_recorder.ts";
export { type FleetAccess, type Gathered, gather } from "./gather.ts";
export { type GatheredBurn, gatherBurn } from "./gather_burn.ts";
export { burnPage } from "./page.ts";
export { table } from "./table.ts";
export { burnText } from "./text.ts";
