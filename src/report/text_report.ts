/** Renders the burn report as plain text. */

import { type BurnLine, CAUSES } from "./burn.ts";
import { table } from "./table.ts";

/** Returns a table with the lines in the given order. */
export function burnText(lines: readonly BurnLine[]): string {
  const header = [
    ...["SERVICE", "TEAM", "TARGET", "BURN 5M", "BURN 1H", "BUDGET LEFT"],
    ...CAUSES.map((cause) => cause.toUpperCase()),
  ];
  const rows = lines.map((line) => [
    line.service,
    line.team,
    `${line.measure} ${line.limitMs} ms ${line.objective * 100}%`,
    line.shortBurn.toFixed(2),
    line.longBurn.toFixed(2),
    `${Math.round(line.budgetLeft * 100)}%`,
    ...CAUSES.map((cause) => String(line.causes[cause])),
  ]);
  return table([header, ...rows]);
}
