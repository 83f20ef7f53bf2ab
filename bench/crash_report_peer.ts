/** The measured router, or its admission controllers: see crash_reports.ts. */

import { AdmissionProcess } from "../src/admission/mod.ts";
import { systemClock } from "../src/common/clock.ts";
import { EventLog } from "../src/common/event_log.ts";
import { EventLoopProfile } from "../src/common/event_loop_profile.ts";
import { AdmissionClients } from "../src/direct/admission_clients.ts";
import { ConnectionPool } from "../src/direct/connection_pool.ts";
import { CrashGuard } from "../src/direct/crash_guard.ts";
import { MetricsRegistry } from "../src/metrics/mod.ts";
import { RouteTable } from "../src/routing/mod.ts";
import { FLEET_KEY } from "../tools/fleet/fleet.ts";
import type { PeerTask, PeerUsage } from "./crash_reports.ts";

const MICROSECONDS_PER_MS = 1_000;
const COUNTED = ["crash-report", "sound-report", "crash-record"];
const events = new EventLog("bench", (_text, done) => done(null));
const profile = new EventLoopProfile(systemClock);

type Figures = Pick<PeerUsage, "sessions" | "reports">;

const [, , argument = ""] = process.argv;
const task = JSON.parse(argument) as PeerTask;
const figures =
  task.role === "router" ? startRouter(task) : await startControllers(task);
profile.start();
process.on("message", (message) => {
  if (message === "stop") process.exit(0);
  const { user, system } = process.cpuUsage();
  const usage: PeerUsage = {
    ...figures(),
    longestTurnMs: profile.take().longestTurnMs,
    processorMs: (user + system) / MICROSECONDS_PER_MS,
  };
  process.send?.(usage);
});

async function startControllers({ gatePort, hosts }: PeerTask) {
  for (const host of hosts) {
    const admission = new AdmissionProcess(
      {
        ...{ instance: host, availabilityZone: "a", service: "desk" },
        ...{ engine: "", listen: { host, port: gatePort } },
        fleetKey: FLEET_KEY,
      },
      { events },
    );
    await admission.start();
  }
  return (): Figures => ({ sessions: hosts.length, reports: 0 });
}

function startRouter({ gatePort, hosts }: PeerTask): () => Figures {
  const clock = systemClock;
  const metrics = new MetricsRegistry();
  const engine = { slots: 64, cacheTokens: 100_000, copiedTokensPerMs: 0 };
  const service = {
    name: "desk",
    maxConnections: 100,
    engine,
    coldStart: null,
  };
  const limits = {
    ...{ headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tokensPerSecond: 1,
  };
  const table = new RouteTable({
    ...{ version: 1, routes: [], services: [service], teams: [], limits },
  });
  const clients = new AdmissionClients(
    {
      ...{ clock, events, metrics },
      identity: {
        ...{ role: "router", instance: "measured", incarnation: "1" },
        ...{ availabilityZone: "a", service: "" },
      },
      settings: { gatePort, fleetKey: FLEET_KEY },
    },
    {
      table: () => table,
      expectedTokensPerMs: () => 10,
      onChange: () => {},
      crashSummary: () => guard.summary,
      onCrashSync: (message) => guard.compare(message),
      onReport: (report) => guard.receive(report),
      serverNotices: () => [],
      onServerNotice: () => {},
      evacuations: () => null,
      onEvacuations: () => {},
      onRequestLimit: () => {},
      onOrigin: () => {},
      onConnection: () => {},
    },
  );
  const guard = new CrashGuard({
    ...{ clock, events, pool: new ConnectionPool() },
    send: (report) => clients.sendReport(report),
  });
  for (const host of hosts)
    clients.of({
      ...{ id: host, host, port: 1, service: "desk", availabilityZone: "a" },
      ...{ version: "v1", slots: 64, state: "ready", startedAtMs: 0 },
      coldForMs: 0,
    });
  return () => ({
    sessions: clients.connections,
    reports: COUNTED.map((type) =>
      metrics.counter("oriole_received_messages_total", { type }),
    ).reduce((sum, count) => sum + count, 0),
  });
}
