/** Starts runs, or refuses them for certain. */

import type { Clock } from "../common/clock.ts";
import type { Registry } from "../metrics/mod.ts";
import type { RefusalCode, Refused, Run } from "../protocol/mod.ts";
import { Attempt, type AttemptResult } from "./attempt.ts";
import type { Attempts } from "./attempts.ts";
import type { BackendClient } from "./backend_client.ts";
import type { Charge } from "./charge.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { RouterSession } from "./router_session.ts";

/** When a router may try a busy side process again. */
const BUSY_RETRY_MS = 100;
const LEAVING_RETRY_MS = 1_000;

/** What the runner shares with the rest of the process. */
export interface RunnerParts {
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly attempts: Attempts;
  readonly dispatcher: Dispatcher;
  readonly metrics: Registry;
}

/** Decides on each run, at most once per attempt. */
export class Runner {
  readonly #parts: RunnerParts;
  #leaving = false;

  constructor(parts: RunnerParts) {
    this.#parts = parts;
  }

  /** Whether new runs are refused for good. */
  get leaving(): boolean {
    return this.#leaving;
  }

  /** Refuses every run from now on. */
  leave(): void {
    this.#leaving = true;
    this.#parts.dispatcher.setPaused(true);
  }

  /** Starts a run and returns null, or returns its recorded refusal. */
  refusal(session: RouterSession, run: Run): Refused | null {
    if (this.#leaving) return this.#refuse(run, "leaving", LEAVING_RETRY_MS);
    if (run.remainingMs <= 0) return this.#refuse(run, "deadline", 0);
    const admission = this.#parts.dispatcher.admit(session, run);
    if (admission.type === "busy") {
      return this.#refuse(run, "busy", BUSY_RETRY_MS);
    }
    void this.#start(session, run, admission.charge);
    return null;
  }

  async #start(
    session: RouterSession,
    run: Run,
    charge: Charge,
  ): Promise<void> {
    const { clock, backend, attempts, dispatcher, metrics } = this.#parts;
    const attempt = new Attempt(run, { clock, backend, charge }, session);
    attempts.add(attempt, session.router);
    const startedMs = clock.monotonicMs();
    const result = await attempt.execute();
    const team = run.team;
    const outcome = outcomeOf(result);
    metrics.count("oriole_runs_total", { team, outcome });
    metrics.observe("oriole_run_seconds", clock.monotonicMs() - startedMs);
    dispatcher.release();
  }

  #refuse(run: Run, code: RefusalCode, retryAfterMs: number): Refused {
    this.#parts.metrics.count("oriole_refusals_total", { code });
    return this.#parts.attempts.refuse(run.attempt, code, retryAfterMs);
  }
}

function outcomeOf(result: AttemptResult): string {
  return result.type === "answered" ? "answered" : result.failure.outcome;
}
