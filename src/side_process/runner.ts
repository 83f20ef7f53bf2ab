/** Starts runs, or refuses them so that they can never start later. */

import type { Clock } from "../common/clock.ts";
import type { MetricsRegistry } from "../metrics/mod.ts";
import type {
  AttemptRefusal,
  KeyState,
  Message,
  RefusalCode,
  RunRequest,
  StoredResponse,
  Strike,
} from "../protocol/mod.ts";
import { fingerprintOf, type Quarantine } from "../quarantine/mod.ts";
import { Attempt, type AttemptResult } from "./attempt.ts";
import type { AttemptRegistry } from "./attempt_registry.ts";
import type { BackendClient } from "./backend_client.ts";
import type { Charge } from "./charge.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { HealthMonitor } from "./health_monitor.ts";
import {
  type KeyGuard,
  NO_RESPONSE,
  RESPONSE_LIMIT_BYTES,
} from "./keys/mod.ts";
import type { ResponseBuffer } from "./response_buffer.ts";
import type { RouterSession } from "./router_session.ts";

/** Delay before a router may retry after "busy". */
const BUSY_RETRY_MS = 100;
/** Delay before a router may retry after "leaving". */
const LEAVING_RETRY_MS = 1_000;

/** Dependencies of the runner. */
export interface RunnerDependencies {
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly attempts: AttemptRegistry;
  readonly dispatcher: Dispatcher;
  readonly metrics: MetricsRegistry;
  readonly keys: KeyGuard;
  readonly healthMonitor: HealthMonitor;
  readonly quarantine: Quarantine;
  /** Sends a message to every other side process of the service. */
  readonly broadcast: (message: Message) => void;
}

/** Starts or refuses each run; the caller asks once per attempt. */
export class Runner {
  readonly #deps: RunnerDependencies;
  #leaving = false;

  constructor(deps: RunnerDependencies) {
    this.#deps = deps;
  }

  /** Whether every new run is refused because this process is leaving. */
  get leaving(): boolean {
    return this.#leaving;
  }

  /** Refuses every new run from now on; runs in progress continue. */
  leave(): void {
    this.#leaving = true;
    this.#deps.dispatcher.setPaused(true);
  }

  /**
   * Starts a run and returns null, or records a refusal and returns it. The
   * run continues in the background; its response goes to the session.
   */
  startOrRefuse(
    session: RouterSession,
    run: RunRequest,
  ): AttemptRefusal | null {
    if (this.#leaving) return this.#refuse(run, "leaving", LEAVING_RETRY_MS);
    if (run.remainingMs <= 0) return this.#refuse(run, "deadline", 0);
    const quarantined = this.#refuseQuarantined(run);
    if (quarantined !== null) return quarantined;
    const admission = this.#deps.dispatcher.admit(session, run);
    if (admission.type === "busy") {
      return this.#refuse(run, "busy", BUSY_RETRY_MS);
    }
    void this.#start(session, run, admission.charge);
    return null;
  }

  async #start(
    session: RouterSession,
    run: RunRequest,
    charge: Charge,
  ): Promise<void> {
    const { clock, backend, attempts, dispatcher, metrics } = this.#deps;
    const { incarnation } = this.#deps.healthMonitor;
    const hasCrashed = () => this.#strikeIfCrashed(run, incarnation);
    const deps = { clock, backend, charge, hasCrashed };
    const attempt = new Attempt(run, deps, session);
    attempts.add(attempt, session.router);
    const startedMs = clock.monotonicMs();
    const keyed = run.idempotencyKey !== "" && !run.idempotent;
    const result = keyed
      ? await this.#executeKeyed(attempt)
      : await attempt.execute();
    const team = run.team;
    const outcome = outcomeOf(result);
    metrics.count("oriole_runs_total", { team, outcome });
    metrics.observe("oriole_run_seconds", clock.monotonicMs() - startedMs);
    dispatcher.release();
    this.#clearSuspicion(run, result);
  }

  /**
   * Refuses a request that crashed too many servers. A suspect, which ran
   * during fewer crashes, is refused as busy while another suspect runs: the
   * next crash then shows which of the two is the cause. Returns null for a
   * request that may run.
   */
  #refuseQuarantined(run: RunRequest): AttemptRefusal | null {
    const { quarantine, attempts } = this.#deps;
    if (quarantine.size === 0) return null;
    const fingerprint = fingerprintOf(run);
    const trust = quarantine.trust(fingerprint);
    switch (trust) {
      case "innocent":
        return null;
      case "refused": {
        const retryAfterMs = quarantine.retryAfterMs(fingerprint);
        return this.#refuse(run, "quarantined", retryAfterMs);
      }
      case "suspect": {
        const suspectRunning = attempts.inProgress.some(
          (other) => quarantine.trust(fingerprintOf(other.run)) === "suspect",
        );
        return suspectRunning ? this.#refuse(run, "busy", BUSY_RETRY_MS) : null;
      }
      default:
        return trust satisfies never;
    }
  }

  /**
   * If the server incarnation that a run started on has ended, counts the
   * crash against the request, here and at the peers. Returns whether it has.
   */
  async #strikeIfCrashed(
    run: RunRequest,
    incarnation: string,
  ): Promise<boolean> {
    const { healthMonitor, quarantine, broadcast } = this.#deps;
    const crashed = await healthMonitor.hasCrashed(incarnation);
    if (!crashed) return false;
    const strike: Strike = {
      type: "strike",
      crash: incarnation,
      fingerprints: [fingerprintOf(run)],
    };
    quarantine.strike(strike);
    broadcast(strike);
    return true;
  }

  /** Clears a suspect that was answered without a crash. */
  #clearSuspicion(run: RunRequest, result: AttemptResult | null): void {
    const { quarantine, broadcast } = this.#deps;
    if (quarantine.size === 0 || result?.type !== "answered") return;
    const fingerprint = fingerprintOf(run);
    if (quarantine.trust(fingerprint) !== "suspect") return;
    quarantine.clear(fingerprint);
    broadcast({ type: "clear", fingerprint });
  }

  /**
   * Runs a request with an idempotency key if the key's arbiter allows it, and
   * records its outcome. Otherwise replays the stored response or refuses.
   */
  async #executeKeyed(attempt: Attempt): Promise<AttemptResult | null> {
    const { keys } = this.#deps;
    const { run, buffer } = attempt;
    const decision = await keys.claim(run);
    switch (decision.type) {
      case "start": {
        buffer.retainUpTo(RESPONSE_LIMIT_BYTES);
        const result = await attempt.execute();
        keys.recordOutcome(run, keyStateOf(result), storedResponse(buffer));
        return result;
      }
      case "replay":
        attempt.replay(decision.response);
        break;
      case "refuse":
        attempt.refuse(decision);
        break;
      default:
        decision satisfies never;
    }
    return attempt.result;
  }

  #refuse(
    run: RunRequest,
    code: RefusalCode,
    retryAfterMs: number,
  ): AttemptRefusal {
    this.#deps.metrics.count("oriole_refusals_total", { code });
    return this.#deps.attempts.refuse(run.attempt, code, retryAfterMs);
  }
}

function storedResponse({
  head,
  retainedBody,
}: ResponseBuffer): StoredResponse {
  if (head === null || retainedBody === null) return NO_RESPONSE;
  return { ...head, body: retainedBody };
}

function keyStateOf(result: AttemptResult): KeyState {
  if (result.type === "answered") return "answered";
  return result.failure.outcome === "not-run" ? "not-run" : "unknown";
}

function outcomeOf(result: AttemptResult | null): string {
  if (result === null) return "unknown";
  return result.type === "answered" ? "answered" : result.failure.outcome;
}
