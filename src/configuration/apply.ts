/** Applies a document as a conditional update, safe under lost answers. */

import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import type { Deadline } from "../common/deadline.ts";
import { sleep } from "../common/signal.ts";
import type { ObjectStore, StoreError } from "../platform/mod.ts";
import { type ChunkedDocument, cut } from "./chunk.ts";
import type { Document } from "./document.ts";
import {
  type Change,
  CONFIGURATION_OBJECT,
  type ConfigurationRecord,
  chunkObject,
  HISTORY_LIMIT,
  type RetiredChunk,
  recordSchema,
} from "./record.ts";

const RETRY_MS = 250;
/** Versions for which a retired chunk stays, for slow readers. */
const RETIRED_VERSIONS = 20;

/** A change that an operator wants. */
export interface Application {
  readonly document: Document;
  readonly operator: string;
  readonly comment: string;
  /** Version the operator started from; null takes the current one. */
  readonly expected: number | null;
}

/** Why an apply did not succeed. */
export type ApplyError =
  | { readonly type: "conflict"; readonly current: number }
  | { readonly type: "unavailable"; readonly error: StoreError }
  | { readonly type: "unreadable" };

/** A record with its version. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: ConfigurationRecord;
}

const NOTHING: VersionedRecord = {
  version: 0,
  record: { names: [], history: [], retired: [] },
};

/** Reads which configuration is stored; version 0 when there is none. */
export async function read(
  store: ObjectStore,
): Promise<Result<VersionedRecord, ApplyError>> {
  const stored = await store.get(CONFIGURATION_OBJECT);
  if (stored.isErr()) {
    if (stored.error.type === "not-found") return ok(NOTHING);
    return err({ type: "unavailable", error: stored.error });
  }
  const record = recordSchema.check(stored.value.value);
  if (record.isErr()) return err({ type: "unreadable" });
  return ok({ version: stored.value.version, record: record.value });
}

/** Returns the version that the change produced. */
export async function apply(
  store: ObjectStore,
  application: Application,
  { clock, deadline }: { readonly clock: Clock; readonly deadline: Deadline },
): Promise<Result<number, ApplyError>> {
  const applyId = randomUUID();
  const chunked = cut(application.document);
  let expected = application.expected;
  for (;;) {
    const current = await read(store);
    if (current.isOk()) {
      const { version, record } = current.value;
      const own = record.history.find((change) => change.applyId === applyId);
      if (own !== undefined) return ok(own.version);
      expected ??= version;
      if (version !== expected) {
        return err({ type: "conflict", current: version });
      }
      const change = toChange(application, applyId, { version, clock });
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
    // The answer may be lost: the next read tells whether it took effect.
    await sleep(RETRY_MS);
  }
}

function toChange(
  { operator, comment }: Application,
  applyId: string,
  { version, clock }: { readonly version: number; readonly clock: Clock },
): Change {
  const appliedAt = new Date(clock.wallMs()).toISOString();
  return { version: version + 1, applyId, operator, appliedAt, comment };
}

/** Chunks first: whoever sees the new version can read all of it. */
async function write(
  store: ObjectStore,
  { list, texts }: ChunkedDocument,
  { current, change }: { current: VersionedRecord; change: Change },
): Promise<Result<number, StoreError>> {
  const { version, record } = current;
  const fresh = list.names.filter((name) => !record.names.includes(name));
  for (const name of fresh) {
    const text = texts.get(name) ?? "";
    const created = await store.create(chunkObject(name), { text });
    if (created.isErr() && created.error.type !== "conflict") {
      return err(created.error);
    }
  }
  const { kept, due } = retire(current, list.names);
  const value: ConfigurationRecord = {
    names: list.names,
    history: [change, ...record.history].slice(0, HISTORY_LIMIT),
    retired: kept,
  };
  const written =
    version === 0
      ? await store.create(CONFIGURATION_OBJECT, value)
      : await store.update(CONFIGURATION_OBJECT, value, { expected: version });
  if (written.isOk()) await removeChunks(store, due);
  return written;
}

interface Retirement {
  readonly kept: readonly RetiredChunk[];
  readonly due: readonly RetiredChunk[];
}

/** A chunk that comes back into use is not retired any more. */
function retire(
  { version, record }: VersionedRecord,
  names: readonly string[],
): Retirement {
  const needed = new Set(names);
  const leaving = record.names
    .filter((name) => !needed.has(name))
    .map((name) => ({ name, version: version + 1 }));
  const retired = [...record.retired, ...leaving].filter(
    ({ name }) => !needed.has(name),
  );
  const isDue = (one: RetiredChunk) => one.version + RETIRED_VERSIONS < version;
  return {
    kept: retired.filter((one) => !isDue(one)),
    due: retired.filter(isDue),
  };
}

/** A chunk that can't be deleted now stays behind and does no harm. */
async function removeChunks(
  store: ObjectStore,
  chunks: readonly RetiredChunk[],
): Promise<void> {
  for (const { name } of chunks) await store.remove(chunkObject(name));
}
