/** Checks a document by shape and by meaning, all findings together. */

import { err, ok, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import type { Document } from "./document.ts";
import { documentSchema } from "./document_schema.ts";
import { JsonText } from "./json_text.ts";
import { remarks } from "./meaning.ts";

/** Returns a well-shaped document, or what is wrong with its meaning. */
export function checkMeaning(document: Document): Result<Document, Finding[]> {
  const findings = remarks(document).map((remark): Finding => {
    return { ...remark, line: null };
  });
  return findings.length === 0 ? ok(document) : err(findings);
}

/** Returns the document in the text, or every finding with its line. */
export function validate(text: string): Result<Document, Finding[]> {
  return JsonText.parse(text).andThen((json) =>
    json.check(documentSchema).andThen((document) => {
      const findings = remarks(document).map((remark) => json.place(remark));
      return findings.length === 0 ? ok(document) : err(findings);
    }),
  );
}
