/** The process beside an engine that admits the requests of all routers. */

import { randomUUID } from "node:crypto";
import { systemClock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import { packNotice, ServerNotices, unpackNotice } from "../directory/mod.ts";
import { OriginMemory, packOrigin, unpackOrigin } from "../origins/mod.ts";
import {
  type CrashReport,
  type OriginAnswer,
  type OriginNotice,
  type OriginQuery,
  prepareSchemas,
  type ServerNoticeReport,
  type ServerReport,
  type SoundReport,
  type TeamUsage,
} from "../protocol/mod.ts";
import type { PromptPart } from "../scheduling/mod.ts";
import {
  type Connection,
  encode,
  type Identity,
  Listener,
  Traffic,
} from "../transport/mod.ts";
import type { ColdChange } from "./cold_guard.ts";
import { AdmissionController } from "./controller.ts";
import { CrashRelay } from "./crash_relay.ts";
import { EngineMonitor, type EngineProbe } from "./engine_monitor.ts";
import type { EngineState } from "./engine_state.ts";
import { EvacuationRelay } from "./evacuation_relay.ts";
import { ReportThrottle } from "./report_throttle.ts";
import { RouterCount } from "./router_count.ts";
import { type RelayedReport, RouterSession } from "./router_session.ts";
import type { AdmissionSettings } from "./settings.ts";

/** Shortest interval at which reports and the engine's state are checked. */
const REPORT_CHECK_INTERVAL_MS = 25;
/** Interval at which queued requests are tried as the token bucket refills. */
const ADMISSION_INTERVAL_MS = 10;
/** Interval of the log lines that tell what became of each team's requests. */
const TEAM_LOG_INTERVAL_MS = 1_000;
/** Teams per interval that are logged. */
const LOGGED_TEAMS = 4;
/** Gain in recent usage above which a team is in the next report. */
const MIN_REPORTED_GAIN_TOKENS = 1;

/** Serves admission to one engine; `start` it, then `close` it. */
export class AdmissionProcess {
  readonly #settings: AdmissionSettings;
  readonly #events: EventLog;
  /** Notices of all servers, for routers that connect later. */
  readonly #notices = new ServerNotices(systemClock);
  readonly #evacuationRelay: EvacuationRelay<RouterSession>;
  readonly #controller: AdmissionController;
  readonly #monitor: EngineMonitor | null;
  readonly #routers = new RouterCount(systemClock);
  /** Beginnings of streams at all servers, for routers to find. */
  readonly #origins = new OriginMemory(systemClock);
  readonly #crashRelay = new CrashRelay(systemClock, {
    send: (report) => this.#sendToAll(report),
  });
  readonly #sessions = new Set<RouterSession>();
  readonly #listener: Listener;
  readonly #reportedUsageByTeam = new Map<string, number>();
  readonly #reportThrottle = new ReportThrottle(systemClock);
  #lastReport = "";
  #engineState: EngineState = "well";
  #reportTimer: NodeJS.Timeout | null = null;
  #admissionTimer: NodeJS.Timeout | null = null;
  #teamLogTimer: NodeJS.Timeout | null = null;
  #stopPreparing: (() => void) | null = null;

  constructor(
    settings: AdmissionSettings,
    {
      events,
      probeEngine,
    }: { readonly events: EventLog; readonly probeEngine?: EngineProbe },
  ) {
    const { instance, availabilityZone, service, fleetKey } = settings;
    this.#controller = new AdmissionController(systemClock, this.#notices, {
      zone: {
        isEmptied: () =>
          this.#evacuationRelay.evacuations.isEmptied(availabilityZone),
      },
      coldBounds: settings.coldStart ?? null,
    });
    const { coldGuard } = this.#controller;
    this.#monitor =
      probeEngine === undefined
        ? null
        : new EngineMonitor(coldGuard, {
            clock: systemClock,
            probe: probeEngine,
          });
    this.#settings = settings;
    this.#events = events;
    const incarnation = randomUUID();
    const identity: Identity = {
      // The protocol has no role of its own for admission processes.
      role: "side-process",
      ...{ instance, incarnation, availabilityZone, service },
    };
    this.#evacuationRelay = new EvacuationRelay({
      ...{ clock: systemClock, events },
      onNews: (report, from) => {
        this.#relayToOthers(report, from);
        this.#controller.admitQueued();
      },
    });
    this.#evacuationRelay.evacuations.onChange(({ returned }) => {
      if (returned.includes(availabilityZone))
        coldGuard.noteStart("zone-returned");
    });
    this.#listener = new Listener(
      { identity, fleetKey },
      {
        clock: systemClock,
        traffic: new Traffic(),
        // This process reads no fleet configuration.
        configurationVersion: () => 0,
      },
      { serve: (connection) => this.#serve(connection) },
    );
  }

  /** Starts listening; rejects when the address can't be bound. */
  async start(): Promise<void> {
    const { instance, service, listen } = this.#settings;
    await this.#listener.listen(listen);
    this.#scheduleReport();
    this.#monitor?.start();
    this.#stopPreparing = prepareSchemas();
    this.#teamLogTimer = setInterval(() => {
      this.#logTeams();
      // Routers that were lost long ago aren't expected back.
      this.#setRouters();
      this.#logLearned();
      this.#crashRelay.sweep();
    }, TEAM_LOG_INTERVAL_MS);
    this.#events.info("start", { instance, service });
  }

  /** Adds prompt parts that the engine has in its cache already. */
  addCachedParts(parts: readonly PromptPart[]): void {
    this.#controller.addCachedParts(parts);
    const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    this.#events.info("cache-listed", { parts: parts.length, tokens });
  }

  /** Stops the timers and closes every connection. */
  async close(): Promise<void> {
    if (this.#reportTimer !== null) clearTimeout(this.#reportTimer);
    this.#stopAdmitting();
    this.#monitor?.close();
    this.#crashRelay.close();
    this.#stopPreparing?.();
    if (this.#teamLogTimer !== null) clearInterval(this.#teamLogTimer);
    this.#events.info("stop", { routers: this.#sessions.size });
    await this.#listener.close();
    this.#events.info("stopped", { asks: this.#controller.load.asks });
  }

  async #serve(connection: Connection): Promise<void> {
    const { instance } = connection.peer;
    const session = new RouterSession(connection, this.#controller, {
      onReport: (report) => this.#crashRelay.receive(report),
      onCrashSync: (message) => this.#crashRelay.compare(message),
      onAsk: () => this.#admitRegularly(),
      onLimitChange: () => this.#logLimit(instance),
      onRouterCount: (routers) => this.#noteRouters(routers),
      onOrigin: (notice) => this.#noteOrigin(notice),
      findOrigin: (query) => this.#findOrigin(query),
      onServerNotice: (report) => this.#relayNotice(report, session),
      onEvacuations: (report) => this.#evacuationRelay.receive(report, session),
      onOtherLimit: (notice) => this.#relayToOthers(notice, session),
    });
    this.#sessions.add(session);
    this.#routers.add(instance);
    this.#setRouters();
    for (const { start, notice } of this.#notices.current)
      session.sendReport(packNotice(start, notice));
    this.#evacuationRelay.tell(session);
    session.sendReport(this.#createReport([...this.#controller.recentUsage]));
    this.#events.info("router-connected", { router: instance });
    await session.serve();
    this.#sessions.delete(session);
    this.#routers.remove(instance);
    this.#setRouters();
    const reason = connection.closeReason;
    this.#events.warn("router-lost", { router: instance, reason });
  }

  #noteRouters(routers: number): void {
    this.#routers.noteHint(routers);
    this.#setRouters();
  }

  #setRouters(): void {
    this.#controller.coldGuard.setRouters(this.#routers.current);
  }

  #noteOrigin(notice: OriginNotice): void {
    const record = unpackOrigin(notice);
    if (record !== null) this.#origins.note(notice.request, record);
  }

  #findOrigin({ request }: OriginQuery): OriginAnswer {
    const origin = packOrigin(this.#origins.find(request));
    return { type: "origin-answer", request, ...origin };
  }

  #logLimit(router: string): void {
    const { requestsPerS, asks } = this.#controller.load;
    this.#events.info("request-limit", { requestsPerS, router, asks });
  }

  /** Routers have no connections to each other, so reports are relayed here. */
  #relayNotice(report: ServerNoticeReport, from: RouterSession): void {
    const { start, notice } = unpackNotice(report);
    if (this.#notices.note(start, notice)) this.#relayToOthers(report, from);
  }

  #relayToOthers(report: RelayedReport, from: RouterSession): void {
    for (const session of this.#sessions) {
      if (session !== from) session.sendReport(report);
    }
  }

  /** Calls `admitQueued` regularly until no request is queued. */
  #admitRegularly(): void {
    if (this.#admissionTimer !== null || !this.#controller.hasQueued) return;
    this.#admissionTimer = setInterval(() => {
      this.#controller.admitQueued();
      if (!this.#controller.hasQueued) this.#stopAdmitting();
    }, ADMISSION_INTERVAL_MS);
  }

  #stopAdmitting(): void {
    if (this.#admissionTimer !== null) clearInterval(this.#admissionTimer);
    this.#admissionTimer = null;
  }

  #scheduleReport(): void {
    const routers = this.#sessions.size;
    const delayMs = this.#reportThrottle.delayMs({ routers });
    this.#reportTimer = setTimeout(
      () => {
        this.#reportWhenDue();
        this.#scheduleReport();
      },
      Math.max(delayMs, REPORT_CHECK_INTERVAL_MS),
    );
  }

  #reportWhenDue(): void {
    this.#logEngineStateChange();
    const change = this.#controller.coldGuard.takeChange();
    if (change !== null) this.#logColdChange(change);
    const routers = this.#sessions.size;
    if (routers > 0 && this.#reportThrottle.tryAcquire({ routers }))
      this.#sendReport();
  }

  /** Logs each change between the states well, slow and failing. */
  #logEngineStateChange(): void {
    const state = this.#controller.engineState;
    const before = this.#engineState;
    if (state === before) return;
    this.#engineState = state;
    const { runs, unreadTokens, asks, ...rest } = this.#controller.load;
    const { tokensPerMs, failureShare } = rest;
    const load = { runs, unreadTokens, asks, tokensPerMs, failureShare };
    this.#events.info("engine", { state, before, ...load });
  }

  #logColdChange({ isCold, source, remainingMs, held }: ColdChange): void {
    const { asks } = this.#controller.load;
    const answerAgeMs = Math.round(this.#monitor?.answerAgeMs ?? -1);
    const known = { source, answerAgeMs, asks };
    if (isCold) {
      const forMs = Math.round(remainingMs);
      this.#events.info("engine-cold", { forMs, ...known });
    } else this.#events.info("engine-warm", { held, ...known });
  }

  /** Logs the largest teams of an interval in which requests were withdrawn. */
  #logTeams(): void {
    const { teamTally, recentUsage } = this.#controller;
    const isLogged =
      teamTally.has("withdrawn") || teamTally.has("withdrawnLate");
    const teams = teamTally.take(LOGGED_TEAMS);
    if (!isLogged) return;
    for (const { team, counts } of teams) {
      const usage = Math.round(recentUsage.of(team));
      this.#events.info("team-permits", { team, usage, ...counts });
    }
  }

  /** Logs what was learned of the engine where a decision followed from it. */
  #logLearned(): void {
    const learned = this.#controller.takeLearned();
    const { busyParts, heldBack } = learned;
    if (busyParts.length === 0 && heldBack === 0) return;
    const parts = busyParts.map(([id, share]) => `${id}:${share}`).join(",");
    this.#events.info("engine-cost", { ...learned, busyParts: parts });
  }

  #sendReport(): void {
    const teams = this.#changedTeams();
    const report = this.#createReport(teams);
    const content = JSON.stringify({ ...report, teams: [] });
    if (content === this.#lastReport && teams.length === 0) return;
    this.#lastReport = content;
    this.#sendToAll(report);
  }

  #sendToAll(report: ServerReport | CrashReport | SoundReport): void {
    const frame = encode(report);
    for (const session of this.#sessions) session.sendEncoded(report, frame);
  }

  #createReport(teams: readonly TeamUsage[]): ServerReport {
    const routers = this.#sessions.size;
    return { type: "server-report", ...this.#controller.load, routers, teams };
  }

  /** Teams that gained usage; routers compute its decay themselves. */
  #changedTeams(): TeamUsage[] {
    const teams: TeamUsage[] = [];
    for (const [team, usage] of this.#controller.recentUsage) {
      const before = this.#reportedUsageByTeam.get(team) ?? 0;
      this.#reportedUsageByTeam.set(team, usage);
      if (usage > before + MIN_REPORTED_GAIN_TOKENS) teams.push([team, usage]);
    }
    return teams;
  }
}
