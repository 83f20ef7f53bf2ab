/** Objects in the store that hold the configuration. */

import { Schema } from "../common/schema.ts";
import type { ObjectName } from "../platform/mod.ts";

/**
 * Name of the object that holds the version in force. Its version in the store
 * is the version of the configuration.
 */
export const CONFIGURATION_OBJECT: ObjectName = {
  kind: "configuration",
  name: "active",
};

/** Changes kept in the history. */
export const HISTORY_LIMIT = 100;

/** One accepted change. */
export interface Change {
  /** Version that the change produced. */
  readonly version: number;
  /** Unique per apply: tells after a lost answer whether it succeeded. */
  readonly applyId: string;
  readonly operator: string;
  /** ISO 8601, in UTC. */
  readonly appliedAt: string;
  readonly comment: string;
}

/** A chunk that the version in force no longer uses. */
export interface RetiredChunk {
  readonly name: string;
  /** First version without it. */
  readonly version: number;
}

/** Value of `CONFIGURATION_OBJECT`. */
export interface ConfigurationRecord {
  /** Names of the document's chunks, each stored as an object. */
  readonly names: readonly string[];
  /** Newest first. */
  readonly history: readonly Change[];
  /** Chunks to delete after some versions, when no process reads them. */
  readonly retired: readonly RetiredChunk[];
}

/** Value of an object that holds a chunk. */
export interface ChunkRecord {
  readonly text: string;
}

/** Returns the name of the object that holds a chunk. */
export function chunkObjectName(name: string): ObjectName {
  return { kind: "configuration-chunk", name };
}

const string = { type: "string" };
const integer = { type: "integer" };

function arrayOfObjects(properties: Record<string, object>): object {
  const required = Object.keys(properties);
  return { type: "array", items: { type: "object", required, properties } };
}

/** Schema of `ConfigurationRecord`. */
export const recordSchema = new Schema<ConfigurationRecord>({
  type: "object",
  required: ["names", "history", "retired"],
  properties: {
    names: { type: "array", items: string },
    history: arrayOfObjects({
      version: integer,
      applyId: string,
      operator: string,
      appliedAt: string,
      comment: string,
    }),
    retired: arrayOfObjects({ name: string, version: integer }),
  },
});

/** Schema of `ChunkRecord`. */
export const chunkSchema = new Schema<ChunkRecord>({
  type: "object",
  required: ["text"],
  properties: { text: string },
});
