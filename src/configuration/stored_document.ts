/** Reads documents with their chunks from the object store. */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore, StoreError } from "../platform/mod.ts";
import { type ApplyError, readRecord, type VersionedRecord } from "./apply.ts";
import { ChunkCache } from "./chunk_cache.ts";
import type { Document } from "./document.ts";
import {
  type ConfigurationRecord,
  chunkObjectName,
  chunkSchema,
} from "./record.ts";

/** A stored record with its document. */
export interface StoredDocument extends VersionedRecord {
  /** Null if none was ever applied. */
  readonly document: Document | null;
}

/** Reads the document that the store has in force. */
export async function readDocument(
  store: ObjectStore,
): Promise<Result<StoredDocument, ApplyError>> {
  const stored = await readRecord(store);
  if (stored.isErr()) return err(stored.error);
  const { version, record } = stored.value;
  if (version === 0) return ok({ version, record, document: null });
  const chunks = new ChunkCache();
  const fetched = await fetchChunks(store, record, { chunks });
  if (fetched.isErr()) {
    return err({ type: "unavailable", error: fetched.error });
  }
  return chunks
    .document(record)
    .map((document) => ({ version, record, document }))
    .mapErr((): ApplyError => ({ type: "unreadable" }));
}

/** Fetches the chunks that are missing in a cache, and adds them. */
export async function fetchChunks(
  store: ObjectStore,
  { names }: ConfigurationRecord,
  { chunks }: { readonly chunks: ChunkCache },
): Promise<Result<void, StoreError>> {
  for (const name of chunks.missing({ names })) {
    const stored = await store.get(chunkObjectName(name));
    if (stored.isErr()) return err(stored.error);
    const chunk = chunkSchema.check(stored.value.value);
    if (chunk.isErr()) return err({ type: "not-found" });
    chunks.add([chunk.value.text]);
  }
  return ok(undefined);
}
