/** Checks a configuration before it is sent. */

export { type Check, formatCheck } from "./check.ts";
export { asConcerns, type Concern, type ConcernType } from "./concern.ts";
export { type Change, compare } from "./difference.ts";
export { checkDocument } from "./document_check.ts";
export { findFleetConcerns } from "./fleet_concerns.ts";
export { sectionsOfFleet } from "./sections.ts";
