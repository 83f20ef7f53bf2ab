/** Parsed JSON that knows the line of each value in its text. */

import * as jsonc from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import type { Schema } from "../common/schema.ts";

/** A successfully parsed JSON text. */
export class JsonText {
  readonly #text: string;
  readonly #root: jsonc.Node;

  private constructor(text: string, root: jsonc.Node) {
    this.#text = text;
    this.#root = root;
  }

  /** Parses text, or returns a finding for each syntax error. */
  static parse(text: string): Result<JsonText, Finding[]> {
    const errors: jsonc.ParseError[] = [];
    const root = jsonc.parseTree(text, errors, { disallowComments: true });
    if (root !== undefined && errors.length === 0) {
      return ok(new JsonText(text, root));
    }
    if (errors.length === 0) {
      return err([{ path: "", line: 1, message: "Text is empty" }]);
    }
    return err(
      errors.map(({ error, offset }) => ({
        path: "",
        line: lineAt(text, offset),
        message: `Text is not JSON: ${jsonc.printParseErrorCode(error)}`,
      })),
    );
  }

  /** The value, of any type. */
  get value(): unknown {
    return jsonc.getNodeValue(this.#root);
  }

  /** Returns the value if it matches the schema, or findings with lines. */
  check<T>(schema: Schema<T>): Result<T, Finding[]> {
    return schema
      .check(this.value)
      .mapErr((findings) => findings.map((finding) => this.withLine(finding)));
  }

  /**
   * Adds to a finding the line of the value at its path; that of the whole
   * value when the path does not exist.
   */
  withLine({ path, message }: { path: string; message: string }): Finding {
    const segments = path
      .split("/")
      .slice(1)
      .map((segment) => (/^\d+$/.test(segment) ? Number(segment) : segment));
    const node = jsonc.findNodeAtLocation(this.#root, segments);
    const offset = node?.offset ?? this.#root.offset;
    return { path, line: lineAt(this.#text, offset), message };
  }
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
