/** Waiting on conditions within a deadline. */

import { setTimeout as delay } from "node:timers/promises";

/** Sleeps, or returns early when the signal aborts. Never throws. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  await delay(ms, undefined, { signal, ref: true }).catch(() => undefined);
}

/** Resolves once the process is told to end. */
export function toldToEnd(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

/** A promise with its resolver, settled once. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  #resolve!: (value: T) => void;
  #settled = false;

  constructor() {
    this.promise = new Promise<T>((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Whether a value was given. */
  get settled(): boolean {
    return this.#settled;
  }

  /** Settles the promise; later calls are ignored. */
  resolve(value: T): void {
    this.#settled = true;
    this.#resolve(value);
  }
}

/** Result of waiting for a promise with a limit. */
export type Outcome<T> =
  | { readonly type: "value"; readonly value: T }
  | { readonly type: "timeout" };

/** Waits for a promise, at most `timeoutMs` milliseconds. */
export async function within<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<Outcome<T>> {
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
