/** Steal time: time that the host of a virtual machine gave to other guests. */

import { readFile } from "node:fs/promises";

/** Index of steal time on the `cpu` line of /proc/stat, after the name. */
const STEAL_FIELD_INDEX = 7;

/** Clock ticks of all processors since the machine started. */
export interface CpuTicks {
  readonly total: number;
  readonly steal: number;
}

/** Reads /proc/stat; returns null where steal time isn't reported. */
export async function readCpuTicks(): Promise<CpuTicks | null> {
  const text = await readFile("/proc/stat", "utf8").catch(() => null);
  const [line = ""] = text?.split("\n") ?? [];
  const fields = line.split(/\s+/).slice(1).map(Number);
  if (fields.length <= STEAL_FIELD_INDEX) return null;
  const total = fields.reduce((sum, field) => sum + field, 0);
  return { total, steal: fields[STEAL_FIELD_INDEX] ?? 0 };
}

/**
 * Returns the share of steal time between two readings, from 0 to 1; null if a
 * reading is missing.
 */
export function stealShare(
  before: CpuTicks | null,
  after: CpuTicks | null,
): number | null {
  if (before === null || after === null) return null;
  const total = after.total - before.total;
  return total === 0 ? 0 : (after.steal - before.steal) / total;
}
