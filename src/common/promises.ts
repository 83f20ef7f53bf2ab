/** Sleeping, process termination, and promises with a time limit. */

import { setTimeout as delay } from "node:timers/promises";
import { timerMs } from "./timer.ts";

/** Sleeps, or returns early when the signal aborts. Never throws. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  await delay(timerMs(ms), undefined, { signal, ref: true }).catch(
    () => undefined,
  );
}

/**
 * Resolves on the first SIGTERM or SIGINT; later ones have no effect. Without a
 * listener they would end the process before it has finished its requests.
 */
export function waitForTermination(): Promise<void> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => resolve());
    process.on("SIGINT", () => resolve());
  });
}

/** A promise that is resolved from outside, once. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  #resolve!: (value: T) => void;
  #settled = false;

  constructor() {
    this.promise = new Promise<T>((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Whether the promise was resolved. */
  get settled(): boolean {
    return this.#settled;
  }

  /** Resolves the promise; later calls are ignored. */
  resolve(value: T): void {
    this.#settled = true;
    this.#resolve(value);
  }
}

/** Value of a promise, or `timeout` when it took too long. */
export type TimeLimited<T> =
  | { readonly type: "value"; readonly value: T }
  | { readonly type: "timeout" };

/** Waits up to `timeoutMs` for a promise; rejects when the promise does. */
export async function withTimeout<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<TimeLimited<T>> {
  const controller = new AbortController();
  const timeout = sleep(timeoutMs, controller.signal).then(
    () => ({ type: "timeout" }) as const,
  );
  const value = promise.then((value) => ({ type: "value", value }) as const);
  try {
    return await Promise.race([value, timeout]);
  } finally {
    controller.abort();
  }
}
