/** Options that callers set in request headers. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { badRequest, type Failure } from "./failure.ts";

const MAX_KEY_CHARACTERS = 255;
const MAX_KIND_CHARACTERS = 64;
const DEFAULT_KIND = "default";

/** Options of one request; null where its header is absent. */
export interface RequestOptions {
  readonly kind: string;
  readonly idempotent: boolean | null;
  readonly idempotencyKey: string;
  readonly deadlineMs: number | null;
  readonly costHint: number;
}

/** Returns the options, or a failure that names the invalid header. */
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
  const idempotent = header("oriole-idempotent");
  if (
    idempotent !== undefined &&
    idempotent !== "true" &&
    idempotent !== "false"
  ) {
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
  if (idempotencyKey.length > MAX_KEY_CHARACTERS) {
    return bad("Idempotency-Key", `at most ${MAX_KEY_CHARACTERS} characters`);
  }
  const kind = header("oriole-kind") ?? DEFAULT_KIND;
  if (kind === "" || kind.length > MAX_KIND_CHARACTERS) {
    return bad("Oriole-Kind", `1 to ${MAX_KIND_CHARACTERS} characters`);
  }
  return ok({
    kind,
    idempotent: idempotent === undefined ? null : idempotent === "true",
    idempotencyKey,
    deadlineMs: deadline === undefined ? null : Number(deadline),
    costHint: Number(hint),
  });
}
