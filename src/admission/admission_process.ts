/** The process beside an engine that routers ask before they send. */

import { randomUUID } from "node:crypto";
import { systemClock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { ServerReport, Strike, TeamService } from "../protocol/mod.ts";
import { Quarantine } from "../quarantine/mod.ts";
import type { PromptPart } from "../scheduling/mod.ts";
import {
  type Connection,
  type Identity,
  Listener,
  Traffic,
} from "../transport/mod.ts";
import type { EngineState } from "./engine_state.ts";
import { Gate } from "./gate.ts";
import { ReportPace } from "./report_pace.ts";
import { RouterSession } from "./router_session.ts";
import type { AdmissionSettings } from "./settings.ts";

/** Time between two looks whether a report is due. */
const REPORT_CHECK_MS = 25;
/** Time between two looks for room that time alone has made. */
const SERVE_MS = 10;
/** Service that a team must gain for it to be reported at once, in tokens. */
const REPORTED_SERVICE = 1;

/** Serves the gate of one engine; `start` it, then `close` it. */
export class AdmissionProcess {
  readonly #settings: AdmissionSettings;
  readonly #events: EventLog;
  readonly #gate = new Gate(systemClock);
  readonly #quarantine = new Quarantine(systemClock);
  readonly #sessions = new Set<RouterSession>();
  readonly #listener: Listener;
  readonly #reported = new Map<string, number>();
  readonly #pace = new ReportPace(systemClock);
  #lastReport = "";
  #engineState: EngineState = "well";
  #timer: NodeJS.Timeout | null = null;
  #serveTimer: NodeJS.Timeout | null = null;

  constructor(
    settings: AdmissionSettings,
    { events }: { readonly events: EventLog },
  ) {
    const { instance, availabilityZone, service, fleetKey } = settings;
    this.#settings = settings;
    this.#events = events;
    const incarnation = randomUUID();
    const identity: Identity = {
      role: "side-process",
      ...{ instance, incarnation, availabilityZone, service },
    };
    this.#listener = new Listener(
      { identity, fleetKey },
      {
        clock: systemClock,
        traffic: new Traffic(),
        configurationVersion: () => 0,
      },
      { serve: (connection) => this.#serve(connection) },
    );
  }

  /** Starts listening. Rejects when the address can't be bound. */
  async start(): Promise<void> {
    const { instance, service, listen } = this.#settings;
    await this.#listener.listen(listen);
    this.#timer = setInterval(() => this.#reportWhenDue(), REPORT_CHECK_MS);
    this.#serveTimer = setInterval(() => this.#gate.serve(), SERVE_MS);
    this.#events.info("start", { instance, service });
  }

  /** Takes what the engine keeps already. */
  noteCached(parts: readonly PromptPart[]): void {
    this.#gate.noteCached(parts);
    const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    this.#events.info("cache-listed", { parts: parts.length, tokens });
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer);
    if (this.#serveTimer !== null) clearInterval(this.#serveTimer);
    this.#events.info("stop", { routers: this.#sessions.size });
    await this.#listener.close();
    this.#events.info("stopped", { asks: this.#gate.load.asks });
  }

  async #serve(connection: Connection): Promise<void> {
    const { instance } = connection.peer;
    const session = new RouterSession(connection, this.#gate, {
      struck: (strike) => this.#relay(strike, session),
    });
    this.#sessions.add(session);
    for (const strike of this.#quarantine.strikes()) session.strike(strike);
    session.report(this.#compose([...this.#gate.service]));
    this.#events.info("router-connected", { router: instance });
    await session.serve();
    this.#sessions.delete(session);
    const reason = connection.closedBecause;
    this.#events.warn("router-lost", { router: instance, reason });
  }

  /** Routers don't know each other: crashes are told through the gates. */
  #relay(strike: Strike, from: RouterSession): void {
    this.#quarantine.strike(strike);
    for (const session of this.#sessions) {
      if (session !== from) session.strike(strike);
    }
  }

  #reportWhenDue(): void {
    this.#noteEngine();
    const routers = this.#sessions.size;
    if (routers > 0 && this.#pace.takeDue({ routers })) this.#report();
  }

  /** Tells when the engine turns slow or failing, and when that is past. */
  #noteEngine(): void {
    const state = this.#gate.engineState;
    const before = this.#engineState;
    if (state === before) return;
    this.#engineState = state;
    const { runs, unreadTokens, asks, ...rest } = this.#gate.load;
    const { tokensPerMs, failureShare } = rest;
    const signs = { runs, unreadTokens, asks, tokensPerMs, failureShare };
    this.#events.info("engine", { state, before, ...signs });
  }

  #report(): void {
    const teams = this.#changedTeams();
    const report = this.#compose(teams);
    const known = JSON.stringify({ ...report, teams: [] });
    if (known === this.#lastReport && teams.length === 0) return;
    this.#lastReport = known;
    for (const session of this.#sessions) session.report(report);
  }

  #compose(teams: readonly TeamService[]): ServerReport {
    const routers = this.#sessions.size;
    return { type: "server-report", ...this.#gate.load, routers, teams };
  }

  /** Teams that gained service; what only fades fades at routers too. */
  #changedTeams(): TeamService[] {
    const teams: TeamService[] = [];
    for (const [team, service] of this.#gate.service) {
      const before = this.#reported.get(team) ?? 0;
      this.#reported.set(team, service);
      if (service > before + REPORTED_SERVICE) teams.push([team, service]);
    }
    return teams;
  }
}
