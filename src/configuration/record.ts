/** The objects in which the configuration is stored. */

import { Schema } from "../common/schema.ts";
import type { ObjectName } from "../platform/mod.ts";

/** Name of the object that says which version is in force. */
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

/** A chunk that a version no longer needs. */
export interface RetiredChunk {
  readonly name: string;
  /** First version without it. */
  readonly version: number;
}

/** Value of the object. */
export interface ConfigurationRecord {
  /** Names of the document's chunks, objects of their own. */
  readonly names: readonly string[];
  /** Newest first. */
  readonly history: readonly Change[];
  /** Chunks to delete once no process can still be reading them. */
  readonly retired: readonly RetiredChunk[];
}

/** Value of a chunk's object. */
export interface ChunkRecord {
  readonly text: string;
}

/** Returns the name of a chunk's object. */
export function chunkObject(name: string): ObjectName {
  return { kind: "configuration-chunk", name };
}

const string = { type: "string" };
const integer = { type: "integer" };

function list(properties: Record<string, object>): object {
  const required = Object.keys(properties);
  return { type: "array", items: { type: "object", required, properties } };
}

/** Schema of the object's value. */
export const recordSchema = new Schema<ConfigurationRecord>({
  type: "object",
  required: ["names", "history", "retired"],
  properties: {
    names: { type: "array", items: string },
    history: list({
      version: integer,
      applyId: string,
      operator: string,
      appliedAt: string,
      comment: string,
    }),
    retired: list({ name: string, version: integer }),
  },
});

/** Schema of a chunk's value. */
export const chunkSchema = new Schema<ChunkRecord>({
  type: "object",
  required: ["text"],
  properties: { text: string },
});
