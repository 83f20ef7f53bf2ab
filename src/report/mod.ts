/** Reports for operators. */

export {
  type BurnCounts,
  type BurnLine,
  burnLines,
  type Cause,
} from "./burn.ts";
export { BurnRecorder, type RequestMeasurement } from "./burn_recorder.ts";
export {
  type FleetAccess,
  type GatheredPage,
  gatherPages,
} from "./gather.ts";
export { type BurnReport, gatherBurn } from "./gather_burn.ts";
export { burnHtml } from "./html_report.ts";
export { table } from "./table.ts";
export { burnText } from "./text_report.ts";
