/** Measured figures by size, with a line fitted through them. */

import { type Fit, fitLine } from "./fit.ts";
import type { ProcessUsage } from "./process_usage.ts";

/** One figure, measured at several sizes, with its fitted line. */
export interface Slope {
  /** Role and figure, as "router: resident memory". */
  readonly name: string;
  /** What the sizes count, as "team known"; the line's slope is per one. */
  readonly of: string;
  /** Unit of the values. */
  readonly unit: string;
  readonly sizes: readonly number[];
  /** One value per size. */
  readonly values: readonly number[];
  readonly fit: Fit;
}

/** Returns the slopes of processor time, memory and control traffic. */
export function createUsageSlopes(
  role: string,
  of: string,
  sizes: readonly number[],
  { usages }: { readonly usages: readonly ProcessUsage[] },
): Slope[] {
  const values = (read: (usage: ProcessUsage) => number) => usages.map(read);
  return [
    createSlope(`${role}: processor time`, of, "% of a core", {
      sizes,
      values: values(({ cpuShare }) => cpuShare * 100),
    }),
    createSlope(`${role}: resident memory`, of, "MB", {
      sizes,
      values: values(({ residentMegabytes }) => residentMegabytes),
    }),
    createSlope(`${role}: control traffic sent`, of, "bytes a second", {
      sizes,
      values: values(({ controlBytesPerSecond }) => controlBytesPerSecond),
    }),
  ];
}

/** Fits a line through the values and returns both. */
export function createSlope(
  name: string,
  of: string,
  unit: string,
  data: {
    readonly sizes: readonly number[];
    readonly values: readonly number[];
  },
): Slope {
  return { name, of, unit, ...data, fit: fitLine(data.sizes, data.values) };
}
