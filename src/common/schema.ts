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

/** A JSON schema for values of type `T`; compiled when it is first used. */
export class Schema<T> {
  readonly #definition: object;
  #compiled: ValidateFunction<T> | null = null;

  constructor(definition: object) {
    this.#definition = definition;
  }

  /** Compiles it, unless that has been done. */
  compile(): ValidateFunction<T> {
    // A process uses few of its schemas, and compiling delays its start.
    this.#compiled ??= ajv.compile<T>(this.#definition);
    return this.#compiled;
  }

  /** Returns the value as `T`, or all validation errors. */
  check(value: unknown): Result<T, Finding[]> {
    const validate = this.compile();
    if (validate(value)) return ok(value);
    return err((validate.errors ?? []).map(findingOf));
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
