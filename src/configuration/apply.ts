/** Applies a document as a conditional update, safe under lost answers. */

import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import type { Deadline } from "../common/deadline.ts";
import { sleep } from "../common/signal.ts";
import type { ObjectStore, StoreError } from "../platform/mod.ts";
import {
  type Change,
  CONFIGURATION_OBJECT,
  type ConfigurationRecord,
  HISTORY_LIMIT,
  recordSchema,
} from "./record.ts";

const RETRY_MS = 250;

/** A change that an operator wants. */
export interface Application {
  readonly text: string;
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

/** Reads the stored configuration; version 0 when there is none. */
export async function read(
  store: ObjectStore,
): Promise<Result<VersionedRecord, ApplyError>> {
  const stored = await store.get(CONFIGURATION_OBJECT);
  if (stored.isErr()) {
    if (stored.error.type === "not-found") {
      return ok({ version: 0, record: { text: "", history: [] } });
    }
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
      const written = await write(store, application.text, {
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

async function write(
  store: ObjectStore,
  text: string,
  { current, change }: { current: VersionedRecord; change: Change },
): Promise<Result<number, StoreError>> {
  const { version, record } = current;
  const history = [change, ...record.history].slice(0, HISTORY_LIMIT);
  const value: ConfigurationRecord = { text, history };
  if (version === 0) return await store.create(CONFIGURATION_OBJECT, value);
  return await store.update(CONFIGURATION_OBJECT, value, { expected: version });
}
