/**
 * Writes a document to the object store as a conditional update. If the
 * answer to a write is lost, the next read finds out whether it took effect.
 */

import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import type { Deadline } from "../common/deadline.ts";
import { sleep } from "../common/promises.ts";
import type { ObjectStore, StoreError } from "../platform/mod.ts";
import { type ChunkedDocument, splitDocument } from "./chunk.ts";
import type { Document } from "./document.ts";
import {
  type Change,
  CONFIGURATION_OBJECT,
  type ConfigurationRecord,
  chunkObjectName,
  HISTORY_LIMIT,
  type RetiredChunk,
  recordSchema,
} from "./record.ts";

const RETRY_DELAY_MS = 250;
/**
 * Later versions for which an unused chunk is kept: a slow process may still
 * fetch the chunks of an older record.
 */
const RETIRED_CHUNK_VERSIONS = 20;

/** A change that an operator requests. */
export interface ApplyRequest {
  readonly document: Document;
  readonly operator: string;
  readonly comment: string;
  /** Version the change is based on; null stands for the stored one. */
  readonly expected: number | null;
}

/** Why the stored configuration could not be read or changed. */
export type ApplyError =
  /** The stored version is not the expected one. */
  | { readonly type: "conflict"; readonly current: number }
  /** The object store failed, or did not answer before the deadline. */
  | { readonly type: "unavailable"; readonly error: StoreError }
  /** The stored object is not a valid configuration. */
  | { readonly type: "unreadable" };

/** A stored record with the store's version of it. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: ConfigurationRecord;
}

const NO_CONFIGURATION: VersionedRecord = {
  version: 0,
  record: { names: [], history: [], retired: [] },
};

/** Reads the stored record; version 0 when none was ever applied. */
export async function readRecord(
  store: ObjectStore,
): Promise<Result<VersionedRecord, ApplyError>> {
  const stored = await store.get(CONFIGURATION_OBJECT);
  if (stored.isErr()) {
    if (stored.error.type === "not-found") return ok(NO_CONFIGURATION);
    return err({ type: "unavailable", error: stored.error });
  }
  const record = recordSchema.check(stored.value.value);
  if (record.isErr()) return err({ type: "unreadable" });
  return ok({ version: stored.value.version, record: record.value });
}

/**
 * Applies the change, retrying until the deadline, and returns the version
 * that it produced. A conflict is returned as soon as the stored version
 * differs from the expected one.
 */
export async function apply(
  store: ObjectStore,
  request: ApplyRequest,
  { clock, deadline }: { readonly clock: Clock; readonly deadline: Deadline },
): Promise<Result<number, ApplyError>> {
  const applyId = randomUUID();
  const chunked = splitDocument(request.document);
  let expected = request.expected;
  for (;;) {
    const current = await readRecord(store);
    if (current.isOk()) {
      const { version, record } = current.value;
      const ownChange = record.history.find(
        (change) => change.applyId === applyId,
      );
      if (ownChange !== undefined) return ok(ownChange.version);
      expected ??= version;
      if (version !== expected) {
        return err({ type: "conflict", current: version });
      }
      const change = createChange(request, applyId, { version, clock });
      const written = await write(store, chunked, {
        current: current.value,
        change,
      });
      if (written.isOk()) return ok(written.value);
      if (deadline.expired) {
        return err({ type: "unavailable", error: written.error });
      }
    } else if (deadline.expired || current.error.type === "unreadable") {
      return err(current.error);
    }
    // The write may have succeeded although its answer was lost. The next read
    // looks for this `applyId` in the history.
    await sleep(RETRY_DELAY_MS);
  }
}

function createChange(
  { operator, comment }: ApplyRequest,
  applyId: string,
  { version, clock }: { readonly version: number; readonly clock: Clock },
): Change {
  const appliedAt = new Date(clock.wallMs()).toISOString();
  return { version: version + 1, applyId, operator, appliedAt, comment };
}

/**
 * Creates the new chunks before it updates the record, so that a reader of
 * the new version finds all of its chunks.
 */
async function write(
  store: ObjectStore,
  { list, texts }: ChunkedDocument,
  { current, change }: { current: VersionedRecord; change: Change },
): Promise<Result<number, StoreError>> {
  const { version, record } = current;
  const addedNames = list.names.filter((name) => !record.names.includes(name));
  for (const name of addedNames) {
    const text = texts.get(name) ?? "";
    const created = await store.create(chunkObjectName(name), { text });
    if (created.isErr() && created.error.type !== "conflict") {
      return err(created.error);
    }
  }
  const { kept, deletable } = partitionRetired(current, list.names);
  const value: ConfigurationRecord = {
    names: list.names,
    history: [change, ...record.history].slice(0, HISTORY_LIMIT),
    retired: kept,
  };
  const written =
    version === 0
      ? await store.create(CONFIGURATION_OBJECT, value)
      : await store.update(CONFIGURATION_OBJECT, value, { expected: version });
  if (written.isOk()) await removeChunks(store, deletable);
  return written;
}

interface RetiredPartition {
  /** Kept, as a slow process may still fetch them. */
  readonly kept: readonly RetiredChunk[];
  /** To be deleted once the new record is written. */
  readonly deletable: readonly RetiredChunk[];
}

/**
 * Splits the chunks that the new version does not use by whether they can be
 * deleted. A chunk that is used again is no longer retired.
 */
function partitionRetired(
  { version, record }: VersionedRecord,
  names: readonly string[],
): RetiredPartition {
  const namesInUse = new Set(names);
  const newlyRetired = record.names
    .filter((name) => !namesInUse.has(name))
    .map((name) => ({ name, version: version + 1 }));
  const retired = [...record.retired, ...newlyRetired].filter(
    ({ name }) => !namesInUse.has(name),
  );
  const isDeletable = (chunk: RetiredChunk) =>
    chunk.version + RETIRED_CHUNK_VERSIONS < version;
  return {
    kept: retired.filter((chunk) => !isDeletable(chunk)),
    deletable: retired.filter(isDeletable),
  };
}

/**
 * Deletes chunks. Failures are ignored: a chunk that stays in the store is
 * referred to by no record and does no harm.
 */
async function removeChunks(
  store: ObjectStore,
  chunks: readonly RetiredChunk[],
): Promise<void> {
  for (const { name } of chunks) await store.remove(chunkObjectName(name));
}
