/** Measured dependencies of a figure on a size. */

import { type Fit, fit } from "./fit.ts";
import type { Usage } from "./slope_fleet.ts";

/** One measured dependency. */
export interface Slope {
  readonly name: string;
  readonly of: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly fit: Fit;
}

/** Returns the slopes of what a role used. */
export function slopesOf(
  role: string,
  of: string,
  sizes: readonly number[],
  { usages }: { readonly usages: readonly Usage[] },
): Slope[] {
  const values = (read: (usage: Usage) => number) => usages.map(read);
  return [
    slope(`${role}: processor time`, of, "% of a core", {
      sizes,
      values: values(({ cpuShare }) => cpuShare * 100),
    }),
    slope(`${role}: resident memory`, of, "MB", {
      sizes,
      values: values(({ residentMegabytes }) => residentMegabytes),
    }),
    slope(`${role}: control traffic sent`, of, "bytes a second", {
      sizes,
      values: values(({ controlBytesPerSecond }) => controlBytesPerSecond),
    }),
  ];
}

/** Returns one slope with its line. */
export function slope(
  name: string,
  of: string,
  unit: string,
  data: {
    readonly sizes: readonly number[];
    readonly values: readonly number[];
  },
): Slope {
  return { name, of, unit, ...data, fit: fit(data.sizes, data.values) };
}
