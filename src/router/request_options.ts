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
  const headerValue = (name: string) => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
  };
  const invalidHeader = (name: string, rule: string) => {
    const sentence = `Header ${name} must be ${rule}`;
    return err(badRequest(400, "bad-header", { sentence }));
  };
  const idempotent = headerValue("oriole-idempotent");
  if (
    idempotent !== undefined &&
    idempotent !== "true" &&
    idempotent !== "false"
  ) {
    return invalidHeader("Oriole-Idempotent", "true or false");
  }
  const deadline = headerValue("oriole-deadline-ms");
  if (deadline !== undefined && !/^[1-9]\d{0,8}$/.test(deadline)) {
    return invalidHeader(
      "Oriole-Deadline-Ms",
      "a whole number of milliseconds above 0",
    );
  }
  const hint = headerValue("oriole-cost-hint") ?? "0";
  if (!/^\d{1,9}(\.\d{1,6})?$/.test(hint)) {
    return invalidHeader("Oriole-Cost-Hint", "a number of cost units");
  }
  const idempotencyKey = headerValue("idempotency-key") ?? "";
  if (idempotencyKey.length > MAX_KEY_CHARACTERS) {
    return invalidHeader(
      "Idempotency-Key",
      `at most ${MAX_KEY_CHARACTERS} characters`,
    );
  }
  const kind = headerValue("oriole-kind") ?? DEFAULT_KIND;
  if (kind === "" || kind.length > MAX_KIND_CHARACTERS) {
    return invalidHeader(
      "Oriole-Kind",
      `1 to ${MAX_KIND_CHARACTERS} characters`,
    );
  }
  return ok({
    kind,
    idempotent: idempotent === undefined ? null : idempotent === "true",
    idempotencyKey,
    deadlineMs: deadline === undefined ? null : Number(deadline),
    costHint: Number(hint),
  });
}
