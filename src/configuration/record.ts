/** The object in which the configuration is stored. */

import { Schema } from "../common/schema.ts";
import type { ObjectName } from "../platform/mod.ts";

/** Name of the object. */
export const CONFIGURATION_OBJECT: ObjectName = {
  kind: "configuration",
  name: "active",
};

/** Changes that the object remembers. */
export const HISTORY_LIMIT = 100;

/** One accepted change. */
export interface Change {
  /** Version that the change produced. */
  readonly version: number;
  /** Names the apply, so that a lost answer can be resolved. */
  readonly applyId: string;
  readonly operator: string;
  readonly appliedAt: string;
  readonly comment: string;
}

/** Value of the object. */
export interface ConfigurationRecord {
  /** The document as JSON text. */
  readonly text: string;
  /** Newest first. */
  readonly history: readonly Change[];
}

const string = { type: "string" };

/** Schema of the object's value. */
export const recordSchema = new Schema<ConfigurationRecord>({
  type: "object",
  required: ["text", "history"],
  properties: {
    text: string,
    history: {
      type: "array",
      items: {
        type: "object",
        required: ["version", "applyId", "operator", "appliedAt", "comment"],
        properties: {
          version: { type: "integer" },
          applyId: string,
          operator: string,
          appliedAt: string,
          comment: string,
        },
      },
    },
  },
});
