/**
 * Finds the causes of crashes among their suspects.
 *
 * The suspect in most crashes explains them, and these crashes no longer count
 * against anyone else: what only ran beside it is cleared. Suspects that ran in
 * exactly the same crashes can't be told apart; then a request must have all of
 * those that one request had.
 */

import type { StoredCrash } from "./crash_evidence.ts";

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

/** Returns the causes, that of most crashes first. */
export function attribute(crashes: Iterable<StoredCrash>): CrashCause[] {
  const unexplained = new Set(crashes);
  const causes: CrashCause[] = [];
  for (;;) {
    const crashesBySuspect = indexBySuspect(unexplained);
    const explained = largestOf(crashesBySuspect.values());
    if (explained === null || explained.size < CAUSE_CRASHES) return causes;
    const tied = new Set<string>();
    for (const [suspect, itsCrashes] of crashesBySuspect)
      if (isSameSet(itsCrashes, explained)) tied.add(suspect);
    for (const suspects of alternatives(explained, tied))
      causes.push({ suspects, crashes: [...explained] });
    for (const crash of explained) unexplained.delete(crash);
  }
}

function indexBySuspect(crashes: CrashSet): Map<string, Set<StoredCrash>> {
  const crashesBySuspect = new Map<string, Set<StoredCrash>>();
  for (const crash of crashes) {
    for (const suspect of [...crash.groups.values()].flat()) {
      const itsCrashes = crashesBySuspect.get(suspect) ?? new Set();
      crashesBySuspect.set(suspect, itsCrashes.add(crash));
    }
  }
  return crashesBySuspect;
}

function largestOf(sets: Iterable<CrashSet>): CrashSet | null {
  let largest: CrashSet | null = null;
  for (const set of sets) if (set.size > (largest?.size ?? 0)) largest = set;
  return largest;
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
      const held = group.filter((one) => tied.has(one)).sort();
      if (held.length > 0) byKey.set(held.join(), held);
    }
  }
  const all = [...byKey.values()];
  return all.filter(
    (held) =>
      !all.some(
        (other) =>
          other.length > held.length &&
          held.every((one) => other.includes(one)),
      ),
  );
}
