/** What differs between two configurations, entry by entry. */

/** One entry of a section, with its fields as an operator reads them. */
export interface Entry {
  readonly name: string;
  readonly fields: Readonly<Record<string, string>>;
  /** Values that must not be printed, such as API keys. */
  readonly secrets?: readonly string[];
}

/** Entries of one kind. */
export interface Section {
  readonly name: string;
  readonly entries: readonly Entry[];
  /** Whether the order of the entries has a meaning. */
  readonly isOrdered?: boolean;
}

/** One difference from the version in force. */
export type Change =
  | {
      readonly type: "added" | "removed";
      readonly section: string;
      readonly name: string;
    }
  | {
      readonly type: "changed";
      readonly section: string;
      readonly name: string;
      readonly field: string;
      readonly before: string | null;
      readonly after: string | null;
    }
  | {
      readonly type: "secrets-changed";
      readonly section: string;
      readonly name: string;
      readonly added: number;
      readonly removed: number;
    }
  | {
      readonly type: "moved";
      readonly section: string;
      readonly name: string;
      /** Entry after which it stands now; null if it is the first. */
      readonly after: string | null;
    };

/** Returns the differences, in the order of the new sections. */
export function compare(
  before: readonly Section[],
  after: readonly Section[],
): Change[] {
  return after.flatMap((section) => {
    const old = before.find(({ name }) => name === section.name);
    return compareSection(old?.entries ?? [], section);
  });
}

function compareSection(
  before: readonly Entry[],
  { name: section, entries, isOrdered = false }: Section,
): Change[] {
  const oldByName = new Map(before.map((entry) => [entry.name, entry]));
  const names = new Set(entries.map(({ name }) => name));
  const removed = before.filter(({ name }) => !names.has(name));
  const changes: Change[] = removed.map(({ name }) => {
    return { type: "removed", section, name };
  });
  for (const entry of entries) {
    const { name } = entry;
    const old = oldByName.get(name);
    if (old === undefined) changes.push({ type: "added", section, name });
    else changes.push(...compareEntry(old, entry, section));
  }
  if (isOrdered) changes.push(...findMoved(before, entries, section));
  return changes;
}

function compareEntry(old: Entry, entry: Entry, section: string): Change[] {
  const { name } = entry;
  const fields = new Set([
    ...Object.keys(old.fields),
    ...Object.keys(entry.fields),
  ]);
  const changes = [...fields].flatMap((field): Change[] => {
    const before = old.fields[field] ?? null;
    const after = entry.fields[field] ?? null;
    if (before === after) return [];
    return [{ type: "changed", section, name, field, before, after }];
  });
  const added = missingIn(old.secrets, entry.secrets);
  const removed = missingIn(entry.secrets, old.secrets);
  if (added + removed === 0) return changes;
  return [
    ...changes,
    { type: "secrets-changed", section, name, added, removed },
  ];
}

/** Number of values that only the second list has. */
function missingIn(
  first: readonly string[] = [],
  second: readonly string[] = [],
): number {
  return second.filter((value) => !first.includes(value)).length;
}

/** Fewest entries that, taken out, leave the others in their former order. */
function findMoved(
  before: readonly Entry[],
  after: readonly Entry[],
  section: string,
): Change[] {
  const oldIndex = new Map(before.map(({ name }, index) => [name, index]));
  const common = after.filter(({ name }) => oldIndex.has(name));
  const kept = longestIncreasing(
    common.map(({ name }) => oldIndex.get(name) ?? 0),
  );
  return common.flatMap(({ name }, index): Change[] => {
    if (kept.has(index)) return [];
    const place = after.findIndex((entry) => entry.name === name);
    const previous = after[place - 1]?.name ?? null;
    return [{ type: "moved", section, name, after: previous }];
  });
}

/** Returns the positions of a longest increasing subsequence. */
function longestIncreasing(values: readonly number[]): ReadonlySet<number> {
  const lengths: number[] = [];
  const previous: number[] = [];
  let end = -1;
  for (const [index, value] of values.entries()) {
    lengths[index] = 1;
    previous[index] = -1;
    for (let earlier = 0; earlier < index; earlier += 1) {
      const length = (lengths[earlier] ?? 0) + 1;
      if ((values[earlier] ?? 0) >= value || length <= (lengths[index] ?? 0))
        continue;
      lengths[index] = length;
      previous[index] = earlier;
    }
    if (end === -1 || (lengths[index] ?? 0) > (lengths[end] ?? 0)) end = index;
  }
  const positions = new Set<number>();
  for (let at = end; at >= 0; at = previous[at] ?? -1) positions.add(at);
  return positions;
}
