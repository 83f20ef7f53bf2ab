/** Processor time that the host of a virtual machine gave to others. */

import { readFile } from "node:fs/promises";

/** Index of the stolen ticks among the fields after the line's name. */
const STOLEN_FIELD = 7;

/** Ticks since the machine started. */
export interface ProcessorTicks {
  readonly total: number;
  readonly stolen: number;
}

/** Reads the ticks of all processors; null where the system has none. */
export async function readTicks(): Promise<ProcessorTicks | null> {
  const text = await readFile("/proc/stat", "utf8").catch(() => null);
  const [line = ""] = text?.split("\n") ?? [];
  const fields = line.split(/\s+/).slice(1).map(Number);
  if (fields.length <= STOLEN_FIELD) return null;
  const total = fields.reduce((sum, field) => sum + field, 0);
  return { total, stolen: fields[STOLEN_FIELD] ?? 0 };
}

/** Returns the share from 0 to 1 that was stolen between two readings. */
export function stolenShare(
  before: ProcessorTicks | null,
  after: ProcessorTicks | null,
): number | null {
  if (before === null || after === null) return null;
  const total = after.total - before.total;
  return total === 0 ? 0 : (after.stolen - before.stolen) / total;
}
