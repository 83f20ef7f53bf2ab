/** Waiting for a condition, with an error that says what was awaited. */

import { systemClock } from "../../src/common/clock.ts";
import { Deadline } from "../../src/common/deadline.ts";
import { sleep } from "../../src/common/signal.ts";

const CHECK_MS = 20;
const ANSWER_TIMEOUT_MS = 30_000;

/** Resolves once the condition holds; rejects after `timeoutMs`. */
export async function until(
  awaited: string,
  timeoutMs: number,
  { holds }: { readonly holds: () => Promise<boolean> | boolean },
): Promise<void> {
  const deadline = new Deadline(systemClock, timeoutMs);
  while (!(await holds())) {
    if (deadline.expired) {
      throw new Error(`Waited ${timeoutMs} ms until ${awaited}`);
    }
    await sleep(CHECK_MS);
  }
}

/** Waits until a URL answers well. */
export async function answers(url: string): Promise<void> {
  await until(`${url} answers`, ANSWER_TIMEOUT_MS, {
    holds: async () => {
      try {
        return (await fetch(url)).ok;
      } catch {
        return false;
      }
    },
  });
}
