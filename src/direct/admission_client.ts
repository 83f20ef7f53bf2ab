/** A router's connection to the admission controller of one engine. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { BackendServer } from "../directory/mod.ts";
import { RecentUsage } from "../fairness/mod.ts";
import type {
  CrashReport,
  CrashSyncMessage,
  EngineConfiguration,
  EvacuationsReport,
  Message,
  OriginAnswer,
  OriginNotice,
  OriginQuery,
  PackedPart,
  Permit as PermitMessage,
  PermitOutcome,
  RequestLimitNotice,
  RunningRequest,
  ServerNoticeReport,
  ServerReport,
  SoundReport,
} from "../protocol/mod.ts";
import { MAX_PACKED_PARTS } from "../protocol/mod.ts";
import {
  costOf,
  type EngineAdmission,
  type EngineReport,
  type LimitObservation,
  type Outcome,
  type Permit,
  type PermitCallbacks,
  type PermitParameters,
  type Prompt,
} from "../scheduling/mod.ts";
import {
  ADMISSION_HEARTBEAT_MS,
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
} from "../transport/mod.ts";

/** Dependencies of an admission client. */
export interface AdmissionClientDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  /** Engine configuration to send; null while it isn't known. */
  readonly engineConfiguration: () => EngineConfiguration | null;
  /** Handles a comparison of crash evidence; returns the replies. */
  readonly onCrashSync: (
    message: CrashSyncMessage,
  ) => readonly CrashSyncMessage[];
  /** Called when another router reports a crash or a sound response. */
  readonly onReport: (report: CrashReport | SoundReport) => void;
  /** What servers have said of themselves, for a new admission controller. */
  readonly serverNotices: () => readonly ServerNoticeReport[];
  /** Called when another router has reported what a server has said. */
  readonly onServerNotice: (report: ServerNoticeReport) => void;
  /** What is known of emptied zones; null if nothing is. */
  readonly evacuations: () => EvacuationsReport | null;
  /** Called when another router has reported emptied zones. */
  readonly onEvacuations: (report: EvacuationsReport) => void;
  /** Called when another router has reported a server's limit. */
  readonly onRequestLimit: (notice: RequestLimitNotice) => void;
  /** Called when the controller tells how a stream began. */
  readonly onOrigin: (answer: OriginAnswer) => void;
  /** Called on a new and on a lost connection. */
  readonly onConnection: () => void;
  /** Called on a new report and on a lost connection. */
  readonly onChange: () => void;
}

/** A message for other routers, or about streams at any server. */
export type SharedMessage =
  | CrashReport
  | SoundReport
  | CrashSyncMessage
  | RequestLimitNotice
  | ServerNoticeReport
  | EvacuationsReport
  | OriginNotice
  | OriginQuery;

/** A request for a permit that has no response yet. */
interface PendingAsk {
  readonly parameters: PermitParameters;
  readonly callbacks: PermitCallbacks;
}

/** A request that holds a permit. */
interface PermittedRequest {
  readonly team: string;
  readonly prompt: Prompt;
  /** Longest pause between its events that is on time; null for any. */
  readonly eventGapMs: number | null;
  /** Whether its first event has come. */
  begun: boolean;
  /** Whether its stream has paused for longer than is on time. */
  missedPace: boolean;
}

/** Requests permits from one admission controller; reconnects on disconnect. */
export class AdmissionClient implements EngineAdmission {
  readonly #deps: AdmissionClientDependencies;
  readonly #dialer: Dialer;
  readonly #pendingAsks = new Map<number, PendingAsk>();
  readonly #permittedRequests = new Map<number, PermittedRequest>();
  readonly #recentUsage: RecentUsage;
  #connection: Connection | null = null;
  /** The latest report, plus what was requested here since. */
  #report: ServerReport | null = null;
  /** The limit that a restarted controller is told; null for none. */
  #limitNotice: RequestLimitNotice | null = null;
  #lastAskId = 0;

  constructor(deps: AdmissionClientDependencies) {
    this.#deps = deps;
    this.#recentUsage = new RecentUsage(deps.clock);
    this.#dialer = new Dialer(deps.credentials, deps.owner, {
      serve: (connection) => this.#serve(connection),
    });
  }

  get connected(): boolean {
    return this.#connection !== null && this.#report !== null;
  }

  /** Whether messages can be sent, though no report may have come. */
  get isOpen(): boolean {
    return this.#connection !== null;
  }

  get report(): EngineReport | null {
    return this.#report;
  }

  /** Connects, and reconnects until `close`. */
  run(address: { readonly host: string; readonly port: number }): void {
    void this.#dialer.run(address);
  }

  /** Closes the connection for good. */
  close(): void {
    this.#dialer.close();
  }

  /** Sends the current engine configuration, if it is known. */
  sendEngineConfiguration(): void {
    const configuration = this.#deps.engineConfiguration();
    if (configuration !== null) this.#connection?.send(configuration);
  }

  /** Sends a message that isn't about the engine, unless disconnected. */
  send(message: SharedMessage): void {
    this.#connection?.send(message);
  }

  usageOf(team: string): number {
    return this.#recentUsage.of(team);
  }

  noteRequestLimit(server: BackendServer, observation: LimitObservation): void {
    const isLimited = observation.requestsPerS !== null;
    const isKnown = isLimited || (this.#report?.requestsPerS ?? null) !== null;
    if (!isKnown && this.#limitNotice === null) return;
    const notice = limitNotice(server, observation, this.#deps);
    this.#limitNotice = isLimited ? notice : null;
    this.#connection?.send(notice);
  }

  requestPermit(
    parameters: PermitParameters,
    callbacks: PermitCallbacks,
  ): () => void {
    this.#lastAskId += 1;
    const ask = this.#lastAskId;
    const { demand, prompt, copiedTokens, elsewhere, leftMs } = parameters;
    this.#pendingAsks.set(ask, { parameters, callbacks });
    this.#addAskedTokens(prompt);
    this.#connection?.send({
      ...{ type: "ask", ask, team: demand.team, elsewhere },
      cost: costOf(demand),
      parts: packParts(prompt),
      copiedTokens,
      outputTokens: prompt.outputTokens,
      ...{ objectiveMs: demand.objectiveMs, leftMs },
      ...packPace(demand.eventGapMs),
    });
    this.#updateBusy();
    return () => {
      if (!this.#pendingAsks.delete(ask)) return;
      this.#connection?.send({ type: "withdraw", ask });
      this.#updateBusy();
    };
  }

  /** Requests that wait for a permit need a lost controller to be noticed soon. */
  #updateBusy(): void {
    this.#connection?.setBusy(this.#pendingAsks.size > 0);
  }

  #addAskedTokens({ parts }: Prompt): void {
    const report = this.#report;
    if (report === null) return;
    const askedTokens = report.askedTokens + (parts.at(-1)?.tokens ?? 0);
    this.#report = { ...report, asks: report.asks + 1, askedTokens };
  }

  async #serve(connection: Connection): Promise<void> {
    const gate = connection.peer.instance;
    this.#connection = connection;
    connection.setIdleHeartbeatMs(ADMISSION_HEARTBEAT_MS);
    this.#updateBusy();
    this.sendEngineConfiguration();
    for (const [ask, permitted] of this.#permittedRequests) {
      connection.send(runningRequestMessage(ask, permitted));
    }
    // An admission controller that has restarted knows no limit.
    if (this.#limitNotice !== null) connection.send(this.#limitNotice);
    for (const report of this.#deps.serverNotices()) connection.send(report);
    const evacuations = this.#deps.evacuations();
    if (evacuations !== null) connection.send(evacuations);
    // "Gate" in log events means the admission controller.
    this.#deps.events.info("gate-connected", { gate });
    this.#deps.onConnection();
    for await (const message of connection.messages) {
      this.#handleMessage(message, connection);
    }
    this.#connection = null;
    this.#report = null;
    const reason = connection.closeReason;
    const asked = this.#pendingAsks.size;
    this.#deps.events.warn("gate-lost", { gate, reason, asked });
    const waiting = [...this.#pendingAsks.values()];
    this.#pendingAsks.clear();
    for (const { callbacks } of waiting) callbacks.disconnected();
    this.#deps.onConnection();
    this.#deps.onChange();
  }

  #handleMessage(message: Message, connection: Connection): void {
    switch (message.type) {
      case "permit":
        this.#handlePermit(message);
        return;
      case "server-report":
        this.#handleReport(message);
        return;
      case "crash-report":
      case "sound-report":
        this.#deps.onReport(message);
        return;
      case "crash-summary":
      case "crash-digests":
      case "crash-offer":
      case "crash-query":
      case "crash-record":
        for (const reply of this.#deps.onCrashSync(message))
          connection.send(reply);
        return;
      case "server-notice":
        this.#deps.onServerNotice(message);
        return;
      case "evacuations":
        this.#deps.onEvacuations(message);
        return;
      case "request-limit":
        this.#deps.onRequestLimit(message);
        return;
      case "origin-answer":
        this.#deps.onOrigin(message);
        return;
      case "heartbeat":
        return;
      default:
        connection.close(`Gate sent ${message.type}`);
    }
  }

  #handleReport(report: ServerReport): void {
    const { requestsPerS, teams } = report;
    const before = this.#report?.requestsPerS ?? null;
    this.#report = report;
    for (const [team, usage] of teams) this.#recentUsage.set(team, usage);
    if (requestsPerS !== before) this.#adoptLimit(requestsPerS);
    this.#deps.onChange();
  }

  /** Keeps a limit for the time after the loss of the controller. */
  #adoptLimit(requestsPerS: number | null): void {
    const engine = this.#deps.engineConfiguration();
    if (engine === null) return;
    const { server, startedAtMs } = engine;
    const notice: RequestLimitNotice = {
      ...{ type: "request-limit", server, startedAtMs },
      ...{ requestsPerS, ageMs: 0 },
    };
    this.#limitNotice = requestsPerS === null ? null : notice;
    this.#deps.onRequestLimit(notice);
  }

  #handlePermit({ ask, uncachedTokens }: PermitMessage): void {
    const pending = this.#pendingAsks.get(ask);
    if (pending === undefined) {
      // The request was withdrawn while its permit was in flight: give it back.
      const outcome = "neutral";
      this.#connection?.send({ type: "finished", ask, outcome });
      return;
    }
    this.#pendingAsks.delete(ask);
    this.#updateBusy();
    const { demand, prompt } = pending.parameters;
    this.#permittedRequests.set(ask, {
      ...{ team: demand.team, prompt, eventGapMs: demand.eventGapMs },
      ...{ begun: false, missedPace: false },
    });
    pending.callbacks.permitted(this.#createPermit(ask, uncachedTokens));
  }

  #createPermit(ask: number, uncachedTokens: number): Permit {
    return {
      uncachedTokens,
      begun: () => {
        const permitted = this.#permittedRequests.get(ask);
        if (permitted === undefined || permitted.begun) return;
        permitted.begun = true;
        this.#connection?.send({ type: "begun", ask });
      },
      noteMissedPace: () => {
        const permitted = this.#permittedRequests.get(ask);
        if (permitted !== undefined) permitted.missedPace = true;
      },
      finish: (outcome) => {
        const permitted = this.#permittedRequests.get(ask);
        if (permitted === undefined) return;
        this.#permittedRequests.delete(ask);
        const reported = permitOutcomeOf(outcome);
        this.#connection?.send({
          ...{ type: "finished", ask, outcome: reported },
          ...(permitted.missedPace ? { missedPace: true } : {}),
        });
      },
    };
  }
}

/** Returns the message that reports what a response has stated. */
export function limitNotice(
  { id, startedAtMs }: BackendServer,
  { requestsPerS, sentAtMs }: LimitObservation,
  { clock }: { readonly clock: Clock },
): RequestLimitNotice {
  const ageMs = clock.monotonicMs() - sentAtMs;
  return {
    ...{ type: "request-limit", server: id, startedAtMs },
    ...{ requestsPerS, ageMs },
  };
}

/** Returns what an outcome shows about the health of the server. */
function permitOutcomeOf(outcome: Outcome): PermitOutcome {
  switch (outcome) {
    case "served":
    case "failed":
    case "neutral":
      return outcome;
    case "unreachable":
      return "failed";
    case "shed":
      return "neutral";
    default:
      return outcome satisfies never;
  }
}

function packParts({ parts }: Pick<Prompt, "parts">): PackedPart[] {
  const last = parts.at(-1);
  if (parts.length <= MAX_PACKED_PARTS || last === undefined)
    return parts.map(({ id, tokens }) => [id, tokens]);
  // The controller takes the rest of a long prompt for its own last part.
  const rest = parts.slice(MAX_PACKED_PARTS - 1);
  const restTokens = rest.reduce((sum, { tokens }) => sum + tokens, 0);
  const listed = packParts({ parts: parts.slice(0, MAX_PACKED_PARTS - 1) });
  return [...listed, [last.id, restTokens]];
}

function runningRequestMessage(
  ask: number,
  { team, prompt, eventGapMs, begun }: PermittedRequest,
): RunningRequest {
  const { outputTokens } = prompt;
  const parts = packParts(prompt);
  const pace = packPace(eventGapMs);
  return { type: "held", ask, team, parts, outputTokens, begun, ...pace };
}

function packPace(eventGapMs: number | null): { eventGapMs?: number } {
  return eventGapMs === null ? {} : { eventGapMs };
}
