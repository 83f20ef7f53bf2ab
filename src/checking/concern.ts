/** What an operator should know of a configuration before it is sent. */

import type { Finding } from "../common/finding.ts";

/** Kinds of concerns, in the order in which they are told. */
export const CONCERN_TYPES = [
  /** A process would refuse the configuration. */
  "error",
  /** An entry has no effect. */
  "never-matches",
  /** Two values can't both be meant. */
  "contradiction",
] as const;

/** One of `CONCERN_TYPES`. */
export type ConcernType = (typeof CONCERN_TYPES)[number];

/** A finding and what it means for the operator. */
export interface Concern extends Finding {
  readonly type: ConcernType;
}

/** Returns a concern about the value at a JSON pointer. */
export function concern(
  type: ConcernType,
  path: string,
  message: string,
): Concern {
  return { type, path, line: null, message };
}

/** Returns findings of a validation as concerns of one type. */
export function asConcerns(
  type: ConcernType,
  findings: readonly Finding[],
): Concern[] {
  return findings.map((finding) => ({ ...finding, type }));
}

/** Entry of a section, by which `duplicates` finds names that stand twice. */
interface NamedEntry {
  readonly name: string;
}

/** Returns an error for each name that an earlier entry of the section has. */
export function duplicates(
  section: string,
  entries: readonly NamedEntry[],
): Concern[] {
  const seen = new Set<string>();
  return entries.flatMap(({ name }, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    const path = `/${section}/${index}`;
    return [concern("error", path, `Name "${name}" stands twice`)];
  });
}
