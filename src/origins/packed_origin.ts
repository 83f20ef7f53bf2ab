/** Converts records between memory and messages. */

import type { PackedOrigin } from "../protocol/mod.ts";
import type { OriginRecord } from "./stream_origin.ts";

const NO_ORIGIN = { service: "", softwareVersion: "", server: "" };

/** Returns the fields of a message; null stands for an unknown origin. */
export function packOrigin(record: OriginRecord | null): PackedOrigin {
  if (record === null) return { state: "unknown", ...NO_ORIGIN };
  switch (record.type) {
    case "known": {
      const { version: softwareVersion, ...origin } = record.origin;
      return { state: "known", softwareVersion, ...origin };
    }
    case "ambiguous":
      return { state: "ambiguous", ...NO_ORIGIN };
    default:
      return record satisfies never;
  }
}

/** Returns the record in a message; null if the origin is unknown. */
export function unpackOrigin(packed: PackedOrigin): OriginRecord | null {
  const { state, service, softwareVersion: version, server } = packed;
  switch (state) {
    case "known":
      return { type: "known", origin: { service, version, server } };
    case "ambiguous":
      return { type: "ambiguous" };
    case "unknown":
      return null;
    default:
      return state satisfies never;
  }
}
