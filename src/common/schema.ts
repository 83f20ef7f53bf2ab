/** JSON schemas: one validator with the project's own formats. */

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

/** A compiled schema that narrows unknown values to `T`. */
export class Schema<T> {
  readonly #validate: ValidateFunction<T>;

  constructor(definition: object) {
    this.#validate = ajv.compile<T>(definition);
  }

  /** Returns the value as `T`, or every finding. */
  check(value: unknown): Result<T, Finding[]> {
    if (this.#validate(value)) return ok(value);
    return err((this.#validate.errors ?? []).map(toFinding));
  }
}

function toFinding(error: ErrorObject): Finding {
  const { instancePath: path, message, params, keyword } = error;
  const detail =
    keyword === "additionalProperties"
      ? `unknown field "${params.additionalProperty}"`
      : keyword === "enum"
        ? `must be one of ${params.allowedValues.join(", ")}`
        : (message ?? "is not valid");
  return { path, line: null, message: sentence(detail) };
}

function sentence(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
