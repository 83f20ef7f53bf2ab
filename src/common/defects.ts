/** Exceptions that nothing catches. */

/**
 * Reports exceptions of listeners and timers instead of ending the process, which
 * would fail the requests of all callers for a defect in one. Call it once the
 * process has started: a start that fails must end it.
 */
export function surviveDefects(report: (error: Error) => void): void {
  process.on("uncaughtException", (thrown: unknown) => {
    report(thrown instanceof Error ? thrown : new Error(String(thrown)));
  });
}
