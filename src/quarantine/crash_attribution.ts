/**
 * Finds the causes of crashes among their suspects.
 *
 * The suspect in most crashes explains them, and these crashes no longer count
 * against anyone else: what only ran beside it is cleared. Suspects that ran in
 * exactly the same crashes can't be told apart; then a request must have all of
 * those that one request had.
 */

import type { StoredCrash } from "./crash_record.ts";

/** Unexplained crashes from which on a suspect is taken for their cause. */
export const CAUSE_CRASHES = 3;

/** What crashes servers: requests that have all suspects. */
export interface CrashCause {
  /** Sorted. */
  readonly suspects: readonly string[];
  /** The crashes that it explains. */
  readonly crashes: readonly StoredCrash[];
}

type CrashSet = ReadonlySet<StoredCrash>;
type CrashesBySuspect = ReadonlyMap<string, CrashSet>;

/**
 * Returns the causes, that of most crashes first; the same in all processes
 * that know the same crashes.
 *
 * @param candidates crashes by suspect; those with fewer than `CAUSE_CRASHES`
 *   may be left out
 */
export function attribute(candidates: CrashesBySuspect): CrashCause[] {
  const causes: CrashCause[] = [];
  let unexplained = candidates;
  for (;;) {
    const explained = largestOf(unexplained);
    if (explained === null || explained.size < CAUSE_CRASHES) return causes;
    const tied = new Set<string>();
    for (const [suspect, itsCrashes] of unexplained)
      if (isSameSet(itsCrashes, explained)) tied.add(suspect);
    for (const suspects of alternatives(explained, tied))
      causes.push({ suspects, crashes: [...explained] });
    unexplained = without(unexplained, explained);
  }
}

function without(
  crashesBySuspect: CrashesBySuspect,
  explained: CrashSet,
): CrashesBySuspect {
  const left = new Map<string, CrashSet>();
  for (const [suspect, itsCrashes] of crashesBySuspect) {
    const others = [...itsCrashes].filter((one) => !explained.has(one));
    if (others.length >= CAUSE_CRASHES) left.set(suspect, new Set(others));
  }
  return left;
}

/** Of equally many crashes, those of the first suspect in code unit order. */
function largestOf(crashesBySuspect: CrashesBySuspect): CrashSet | null {
  let largest: readonly [string, CrashSet] | null = null;
  for (const [suspect, itsCrashes] of crashesBySuspect) {
    const added = itsCrashes.size - (largest?.[1].size ?? 0);
    if (largest === null || added > 0 || (added === 0 && suspect < largest[0]))
      largest = [suspect, itsCrashes];
  }
  return largest?.[1] ?? null;
}

function isSameSet(a: CrashSet, b: CrashSet): boolean {
  return a.size === b.size && [...a].every((one) => b.has(one));
}

/**
 * Returns the tied suspects that one request had, for each such set that isn't
 * part of a larger one: requests beside each other are alternative causes.
 */
function alternatives(
  crashes: CrashSet,
  tied: ReadonlySet<string>,
): string[][] {
  const byKey = new Map<string, string[]>();
  for (const { groups } of crashes) {
    for (const group of groups.values()) {
      const held = [...group].filter((one) => tied.has(one)).sort();
      if (held.length > 0) byKey.set(held.join(), held);
    }
  }
  const all = [...byKey.values()].map((held) => new Set(held));
  return all
    .filter((held) => !all.some((other) => isPartOf(held, other)))
    .map((held) => [...held]);
}

function isPartOf(
  part: ReadonlySet<string>,
  whole: ReadonlySet<string>,
): boolean {
  return whole.size > part.size && [...part].every((one) => whole.has(one));
}
