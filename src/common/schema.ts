/** JSON schema validation, with a `bytes` keyword for binary values. */

import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import { err, ok, type Result } from "neverthrow";
import type { Finding } from "./finding.ts";

const ajv = new Ajv({
  allErrors: true,
  discriminator: true,
  strict: true,
  strictRequired: false,
});

ajv.addKeyword({
  keyword: "bytes",
  schemaType: "boolean",
  validate: (_schema: boolean, data: unknown) => data instanceof Uint8Array,
});

/** A compiled JSON schema for values of type `T`. */
export class Schema<T> {
  readonly #validate: ValidateFunction<T>;

  constructor(definition: object) {
    this.#validate = ajv.compile<T>(definition);
  }

  /** Returns the value as `T`, or all validation errors. */
  check(value: unknown): Result<T, Finding[]> {
    if (this.#validate(value)) return ok(value);
    return err((this.#validate.errors ?? []).map(findingOf));
  }
}

function findingOf(error: ErrorObject): Finding {
  const { instancePath: path, message, params, keyword } = error;
  const detail =
    keyword === "additionalProperties"
      ? `unknown field "${params.additionalProperty}"`
      : keyword === "enum"
        ? `must be one of ${params.allowedValues.join(", ")}`
        : (message ?? "is not valid");
  return { path, line: null, message: capitalize(detail) };
}

function capitalize(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
