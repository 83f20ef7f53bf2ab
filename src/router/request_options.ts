/** What callers ask for in headers. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { badRequest, type Failure } from "./failure.ts";

const KEY_LENGTH_LIMIT = 255;
const KIND_LENGTH_LIMIT = 64;
const DEFAULT_KIND = "default";

/** Options of one request. */
export interface RequestOptions {
  readonly kind: string;
  readonly idempotent: boolean | null;
  readonly idempotencyKey: string;
  readonly deadlineMs: number | null;
  readonly costHint: number;
}

/** Returns the options, or what is wrong with a header. */
export function readOptions(
  request: IncomingMessage,
): Result<RequestOptions, Failure> {
  const header = (name: string) => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
  };
  const bad = (name: string, rule: string) => {
    const sentence = `Header ${name} must be ${rule}`;
    return err(badRequest(400, "bad-header", { sentence }));
  };
  const word = header("oriole-idempotent");
  if (word !== undefined && word !== "true" && word !== "false") {
    return bad("Oriole-Idempotent", "true or false");
  }
  const deadline = header("oriole-deadline-ms");
  if (deadline !== undefined && !/^[1-9]\d{0,8}$/.test(deadline)) {
    return bad("Oriole-Deadline-Ms", "a whole number of milliseconds above 0");
  }
  const hint = header("oriole-cost-hint") ?? "0";
  if (!/^\d{1,9}(\.\d{1,6})?$/.test(hint)) {
    return bad("Oriole-Cost-Hint", "a number of cost units");
  }
  const idempotencyKey = header("idempotency-key") ?? "";
  if (idempotencyKey.length > KEY_LENGTH_LIMIT) {
    return bad("Idempotency-Key", `at most ${KEY_LENGTH_LIMIT} characters`);
  }
  const kind = header("oriole-kind") ?? DEFAULT_KIND;
  if (kind === "" || kind.length > KIND_LENGTH_LIMIT) {
    return bad("Oriole-Kind", `1 to ${KIND_LENGTH_LIMIT} characters`);
  }
  return ok({
    kind,
    idempotent: word === undefined ? null : word === "true",
    idempotencyKey,
    deadlineMs: deadline === undefined ? null : Number(deadline),
    costHint: Number(hint),
  });
}
