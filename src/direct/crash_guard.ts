/** Keeps requests that crash servers from reaching further ones. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { BackendServer, DirectoryChange } from "../directory/mod.ts";
import type {
  CrashReport,
  CrashSyncMessage,
  SoundReport,
} from "../protocol/mod.ts";
import {
  CrashBreaker,
  type CrashCause,
  CrashEvidence,
  CrashSync,
  messagesOf,
} from "../quarantine/mod.ts";
import type { ConnectionFailure } from "./backend_connection.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import {
  type BrokenRequest,
  type Crash,
  CrashDetector,
} from "./crash_detector.ts";
import { CrashProbe } from "./crash_probe.ts";

/** Fingerprints, prompt parts or crashes in one log line. */
const LOGGED_IDS = 8;

/** Dependencies of a crash guard. */
export interface CrashGuardDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly pool: ConnectionPool;
  /** Sends a report to the other routers. */
  send(report: CrashReport | SoundReport): void;
}

/** A failed attempt to connect to a server. */
export interface ConnectFailure extends ConnectionFailure {
  /** Id of the request that it was for; null for a probe. */
  readonly request: string | null;
}

/** Detects crashes, shares them with other routers, and refuses causes. */
export class CrashGuard {
  readonly #deps: CrashGuardDependencies;
  readonly #detector: CrashDetector;
  readonly #evidence: CrashEvidence;
  readonly #breaker: CrashBreaker;
  readonly #sync: CrashSync;
  readonly #probe: CrashProbe;
  readonly #loggedCauses = new Set<string>();
  /** Causes at the last call of `#logCauses`. */
  #causes: readonly CrashCause[] = [];

  constructor(deps: CrashGuardDependencies) {
    const { clock, pool } = deps;
    this.#deps = deps;
    this.#detector = new CrashDetector(clock);
    this.#evidence = new CrashEvidence(clock);
    this.#breaker = new CrashBreaker(clock, this.#evidence);
    this.#sync = new CrashSync(clock, this.#evidence, (record) =>
      this.receive(record),
    );
    this.#probe = new CrashProbe({
      pool,
      onUnreachable: (server, failure) =>
        this.handleUnreachable(server, { ...failure, request: null }),
    });
  }

  /** Number of requests and prompt parts that ran in a crash. */
  get suspects(): number {
    return this.#evidence.suspectCount;
  }

  /** Number of known causes of crashes. */
  get causes(): number {
    return this.#breaker.causes.length;
  }

  /** Message that begins a comparison with an admission controller. */
  get summary(): CrashSyncMessage {
    return this.#sync.summary;
  }

  /** Handles a message of a comparison; returns the replies to it. */
  compare(message: CrashSyncMessage): CrashSyncMessage[] {
    return this.#sync.handle(message);
  }

  /** Returns the cause for which a request is refused; null if there is none. */
  refusal(suspects: readonly string[], holder: object): CrashCause | null {
    return this.#breaker.refusal(suspects, holder);
  }

  /** Ends the trial of a request that was let through. */
  endTrial(holder: object): void {
    this.#breaker.endTrial(holder);
  }

  /** Records a response that broke off. */
  handleBroken(server: BackendServer, request: BrokenRequest): void {
    const crash = this.#detector.recordBroken(server, request);
    if (crash === null) void this.#probe.probe(server);
    else this.#handleCrash(crash);
  }

  /** Records that no connection to a server can be opened. */
  handleUnreachable(
    server: BackendServer,
    { kind, reason, request }: ConnectFailure,
  ): void {
    const fields = { request, server: server.id, kind, reason };
    this.#deps.events.warn("server-unreachable", fields);
    // A server that falls silent for a while goes on; if it has ended, its
    // entry lapses.
    if (kind === "refused")
      this.#handleCrash(this.#detector.recordUnreachable(server));
  }

  /** Records that a server has joined or left the directory. */
  handleChange({ type, server }: DirectoryChange): void {
    if (type === "joined") this.#detector.recordJoined(server);
    if (type === "left") this.#handleCrash(this.#detector.recordLeft(server));
  }

  #handleCrash(found: Crash | null): void {
    if (found === null) return;
    this.#logCrash(found);
    // Requests that hadn't begun go first: reports are bounded.
    const requests = [...found.requests]
      .sort((a, b) => Number(b.parts.length > 0) - Number(a.parts.length > 0))
      .map(({ fingerprint, parts }) => [fingerprint, parts] as const);
    const { crash, ageMs } = found;
    const type = "crash-report";
    const report: CrashReport = { type, crash, ageMs, requests, cleared: [] };
    const news = this.#evidence.add(report);
    if (news === null) return;
    this.#send(news);
    this.#logCauses();
  }

  /** Records sound responses; other routers learn of those that clear. */
  recordSound(suspects: readonly string[]): void {
    const cleared = this.#evidence.addSound(suspects);
    if (cleared.length === 0) return;
    this.#send({ type: "sound-report", suspects: cleared, ageMs: 0 });
    this.#logCauses();
  }

  /** Records what another router has reported. */
  receive(report: CrashReport | SoundReport): void {
    if (this.#evidence.add(report) === null) return;
    if (report.type === "crash-report") {
      const sound = this.#evidence.soundAmong(report);
      if (sound !== null) this.#send(sound);
    }
    this.#logCauses();
  }

  /** Drops old crashes; must be called periodically. */
  sweep(): void {
    this.#evidence.sweep();
  }

  #send(report: CrashReport | SoundReport): void {
    for (const message of messagesOf(report)) this.#deps.send(message);
  }

  #logCrash({ crash, requests }: Crash): void {
    this.#deps.events.warn("server-crashed", {
      ...{ crash, ran: requests.length },
      requests: listed(requests.map((one) => one.fingerprint)),
      parts: listed(requests.flatMap((one) => one.parts)),
    });
  }

  #logCauses(): void {
    const { causes } = this.#breaker;
    if (causes === this.#causes) return;
    this.#causes = causes;
    const keys = new Set(causes.map(nameOf));
    for (const key of this.#loggedCauses) {
      if (keys.has(key)) continue;
      this.#loggedCauses.delete(key);
      this.#deps.events.info("crash-cause-cleared", { cause: key });
    }
    for (const cause of causes) {
      const key = nameOf(cause);
      if (this.#loggedCauses.has(key)) continue;
      this.#loggedCauses.add(key);
      const crashes = listed(cause.crashes.map(({ id }) => id));
      this.#deps.events.warn("crash-cause", { cause: key, crashes });
    }
  }
}

/** Returns the suspects of a cause for a log line. */
export function nameOf({ suspects }: CrashCause): string {
  return listed(suspects);
}

function listed(ids: readonly string[]): string {
  return [...new Set(ids)].slice(0, LOGGED_IDS).join(", ");
}
