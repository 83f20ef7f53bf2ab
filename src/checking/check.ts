/** A configuration's concerns and its differences, as the commands print them. */

import { formatFindings } from "../common/finding.ts";
import { CONCERN_TYPES, type Concern, type ConcernType } from "./concern.ts";
import type { Change } from "./difference.ts";

/** The result of a check. */
export interface Check {
  readonly concerns: readonly Concern[];
  /** Null if there is nothing to compare with. */
  readonly changes: readonly Change[] | null;
}

const TITLES: Readonly<Record<ConcernType, string>> = {
  error: "Errors",
  "never-matches": "Entries that have no effect",
  contradiction: "Limits that contradict each other",
};

/** Returns the check as text, a section for each kind of result. */
export function formatCheck({ concerns, changes }: Check): string {
  const sections = CONCERN_TYPES.flatMap((type) => {
    const found = concerns.filter((one) => one.type === type);
    return found.length === 0
      ? []
      : [`${TITLES[type]}:\n${formatFindings(found)}`];
  });
  if (sections.length === 0) sections.push("Nothing to correct");
  if (changes !== null) sections.push(formatChanges(changes));
  return sections.join("\n\n");
}

function formatChanges(changes: readonly Change[]): string {
  if (changes.length === 0) return "No difference from the version in force";
  return [
    "Differences from the version in force:",
    ...changes.map(formatChange),
  ].join("\n");
}

function formatChange(change: Change): string {
  const place = `${change.section} "${change.name}"`;
  switch (change.type) {
    case "added":
    case "removed":
      return `${place}: ${change.type}`;
    case "changed": {
      const { field, before, after } = change;
      return `${place}: ${field} ${before ?? "not set"} -> ${after ?? "not set"}`;
    }
    case "secrets-changed":
      return `${place}: ${change.added} keys added, ${change.removed} removed`;
    case "moved":
      return change.after === null
        ? `${place}: moved to the first place`
        : `${place}: moved behind "${change.after}"`;
    default:
      return change satisfies never;
  }
}
