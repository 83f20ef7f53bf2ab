/** Validates documents against the schema and the semantic rules. */

import { err, ok, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import type { Document } from "./document.ts";
import { documentSchema } from "./document_schema.ts";
import { JsonText } from "./json_text.ts";
import { findSemanticErrors, type SemanticError } from "./semantics.ts";

/** Returns a document that matches the schema, or its semantic errors. */
export function checkSemantics(
  document: Document,
): Result<Document, Finding[]> {
  const findings = findSemanticErrors(document).map((error): Finding => {
    return { ...error, line: null };
  });
  return findings.length === 0 ? ok(document) : err(findings);
}

/** A document that matches its schema, and the lines of its text. */
export interface DocumentText {
  readonly document: Document;
  withLine(error: SemanticError): Finding;
}

/** Reads a document without checking its semantics. */
export function parseDocument(text: string): Result<DocumentText, Finding[]> {
  return JsonText.parse(text).andThen((json) =>
    json.check(documentSchema).map(
      (document): DocumentText => ({
        document,
        withLine: (error) => json.withLine(error),
      }),
    ),
  );
}

/**
 * Returns the document in a text, or findings with their lines. Syntax, schema
 * and semantics are checked in turn; a failing step ends the validation.
 */
export function validate(text: string): Result<Document, Finding[]> {
  return parseDocument(text).andThen(({ document, withLine }) => {
    const findings = findSemanticErrors(document).map(withLine);
    return findings.length === 0 ? ok(document) : err(findings);
  });
}
