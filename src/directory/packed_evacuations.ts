/** Converts the state of emptied zones between memory and messages. */

import type { EvacuationsReport } from "../protocol/mod.ts";
import type { EvacuationState } from "./zone_evacuations.ts";

/** Returns the message that reports a state. */
export function packEvacuations(state: EvacuationState): EvacuationsReport {
  return { type: "evacuations", ...state };
}

/** Returns the state in a message. */
export function unpackEvacuations({
  era,
  revision,
  zones,
  ageMs,
}: EvacuationsReport): EvacuationState {
  return { era, revision, zones, ageMs };
}
