/** Checks a document before it is applied. */

import { ok, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import {
  findReferenceErrors,
  findUnreachableRules,
  parseDocument,
} from "../configuration/mod.ts";
import type { Check } from "./check.ts";
import { asConcerns, type Concern } from "./concern.ts";
import { compare } from "./difference.ts";
import { findDocumentConcerns } from "./document_concerns.ts";
import { sectionsOfDocument } from "./sections.ts";

/**
 * Returns the check of a document's text, or why the other one can't be read.
 *
 * @param against text of the document in force; null to compare with none
 */
export function checkDocument(
  text: string,
  against: string | null,
): Result<Check, Finding[]> {
  const parsed = parseDocument(text);
  if (parsed.isErr())
    return ok({ concerns: asConcerns("error", parsed.error), changes: null });
  const { document, withLine } = parsed.value;
  const hidden = findUnreachableRules(document.rules);
  const concerns: Concern[] = [
    ...asConcerns("error", findReferenceErrors(document).map(withLine)),
    ...asConcerns("never-matches", hidden.map(withLine)),
    ...findDocumentConcerns(document).map(({ type, ...one }): Concern => {
      return { type, ...withLine(one) };
    }),
  ];
  if (against === null) return ok({ concerns, changes: null });
  return parseDocument(against).map((inForce) => {
    const before = sectionsOfDocument(inForce.document);
    return { concerns, changes: compare(before, sectionsOfDocument(document)) };
  });
}
