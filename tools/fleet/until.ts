/** Polls a condition until it holds; the time-out error names it. */

import { systemClock } from "../../src/common/clock.ts";
import { Deadline } from "../../src/common/deadline.ts";
import { sleep } from "../../src/common/promises.ts";

const CHECK_INTERVAL_MS = 20;
const HEALTHY_TIMEOUT_MS = 30_000;

/** Resolves once `holds` returns true; rejects after `timeoutMs`. */
export async function until(
  condition: string,
  timeoutMs: number,
  { holds }: { readonly holds: () => Promise<boolean> | boolean },
): Promise<void> {
  const deadline = new Deadline(systemClock, timeoutMs);
  while (!(await holds())) {
    if (deadline.expired) {
      throw new Error(`Waited ${timeoutMs} ms until ${condition}`);
    }
    await sleep(CHECK_INTERVAL_MS);
  }
}

/** Waits until a URL answers with a 2xx status. */
export async function untilHealthy(url: string): Promise<void> {
  await until(`${url} answers`, HEALTHY_TIMEOUT_MS, {
    holds: async () => {
      try {
        return (await fetch(url)).ok;
      } catch {
        return false;
      }
    },
  });
}
