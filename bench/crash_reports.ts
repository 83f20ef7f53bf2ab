/**
 * Messages and processor time that crash reports cost a router and the admission
 * controllers that relay them, by the number of routers that report.
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { sleep } from "../src/common/promises.ts";
import type { CrashReport } from "../src/protocol/mod.ts";
import type { Connection, Dialer } from "../src/transport/mod.ts";
import { freePorts } from "../tools/fleet/ports.ts";
import { until } from "../tools/fleet/until.ts";
import { createStubIdentity, dialAsStub } from "./stub_peers.ts";

const PEER = fileURLToPath(new URL("./crash_report_peer.js", import.meta.url));
const TIMEOUT_MS = 60_000;
/** Processor time is measured over this long before and during the crashes. */
const WINDOW_MS = 10_000;
const CRASHES = 10;
/** Span in which the routers find a crash. */
const FOUND_WITHIN_MS = 300;
/** Requests of each router that run in a crash, and parts of their prompts. */
const REQUESTS = 3;
const PARTS = 3;

/** What `crash_report_peer.ts` is started with. */
export interface PeerTask {
  readonly role: "router" | "controllers";
  readonly gatePort: number;
  readonly hosts: readonly string[];
}

/** What a peer tells when it is asked. */
export interface PeerUsage {
  /** Sessions that are open. */
  readonly sessions: number;
  /** Crash and sound reports received, and records of comparisons. */
  readonly reports: number;
  /** Longest turn of the event loop since the previous question, in ms. */
  readonly longestTurnMs: number;
  readonly processorMs: number;
}

/** Size of a measurement. */
export interface CrashReportSize {
  /** Routers that report each crash. */
  readonly routers: number;
  readonly controllers: number;
  /** Controllers through which each report goes. */
  readonly relays: number;
}

/** Figures of one measurement. */
export interface CrashReportFigures extends CrashReportSize {
  /** Reports that reached the measured router for each crash. */
  readonly reportsPerCrash: number;
  /** Reports for each that one of the routers sent. */
  readonly reportsPerFact: number;
  /** Processor time of the measured router for each crash, in ms. */
  readonly routerMsPerCrash: number;
  /** Processor time of all controllers for each crash, in ms. */
  readonly controllersMsPerCrash: number;
  /** Longest turn of the measured router's event loop, in ms. */
  readonly longestTurnMs: number;
}

/** A forked process that answers questions about its usage. */
class Peer {
  readonly #process: ChildProcess;

  constructor(task: PeerTask) {
    this.#process = fork(PEER, [JSON.stringify(task)]);
  }

  async usage(): Promise<PeerUsage> {
    const answer = once(this.#process, "message");
    this.#process.send("usage");
    const [usage] = (await answer) as [PeerUsage];
    return usage;
  }

  async stop(): Promise<void> {
    const ended = once(this.#process, "exit");
    this.#process.send("stop");
    await ended;
  }
}

/** Measures one size with real controllers, a real router and stub routers. */
export async function measureCrashReports(
  size: CrashReportSize,
): Promise<CrashReportFigures> {
  const [gatePort = 0] = await freePorts(1);
  const hosts = Array.from(
    { length: size.controllers },
    (_, index) => `127.2.${index >> 8}.${index & 255}`,
  );
  const controllers = new Peer({ role: "controllers", gatePort, hosts });
  await controllers.usage();
  const router = new Peer({ role: "router", gatePort, hosts });
  const relays = hosts.slice(0, size.relays);
  const stubs = Array.from({ length: size.routers }, (_, index) =>
    connectStub(index, relays, gatePort),
  );
  try {
    await until("all routers are connected", TIMEOUT_MS, {
      holds: async () =>
        (await router.usage()).sessions === size.controllers &&
        stubs.every(({ connections }) => connections.size === size.relays),
    });
    return await measure(size, { router, controllers, stubs });
  } finally {
    for (const { dialers } of stubs)
      for (const dialer of dialers) dialer.close();
    await router.stop();
    await controllers.stop();
  }
}

interface StubRouter {
  readonly connections: Map<string, Connection>;
  readonly dialers: readonly Dialer[];
}

interface Fleet {
  readonly router: Peer;
  readonly controllers: Peer;
  readonly stubs: readonly StubRouter[];
}

function connectStub(
  index: number,
  relays: readonly string[],
  port: number,
): StubRouter {
  const connections = new Map<string, Connection>();
  const identity = createStubIdentity("router", `stub-${index}`, "");
  const dialers = relays.map((host) =>
    dialAsStub(
      identity,
      { host, port },
      { onConnection: (connection) => connections.set(host, connection) },
    ),
  );
  return { connections, dialers };
}

async function measure(
  size: CrashReportSize,
  { router, controllers, stubs }: Fleet,
): Promise<CrashReportFigures> {
  await sleep(WINDOW_MS / 2);
  const atRest = await readWindow([router, controllers], () =>
    sleep(WINDOW_MS),
  );
  const loaded = await readWindow([router, controllers], async () => {
    for (let crash = 0; crash < CRASHES; crash += 1) {
      const next = sleep(WINDOW_MS / CRASHES);
      reportCrash(crash, stubs);
      await next;
    }
  });
  const perCrash = (peer: 0 | 1) =>
    (loaded[peer].processorMs - atRest[peer].processorMs) / CRASHES;
  const reportsPerCrash = loaded[0].reports / CRASHES;
  return {
    ...size,
    reportsPerCrash,
    reportsPerFact: reportsPerCrash / size.routers,
    routerMsPerCrash: perCrash(0),
    controllersMsPerCrash: perCrash(1),
    longestTurnMs: loaded[0].longestTurnMs,
  };
}

async function readWindow(
  peers: readonly [Peer, Peer],
  run: () => Promise<void>,
): Promise<[PeerUsage, PeerUsage]> {
  const before = [await peers[0].usage(), await peers[1].usage()] as const;
  await run();
  const after = [await peers[0].usage(), await peers[1].usage()] as const;
  return [difference(before[0], after[0]), difference(before[1], after[1])];
}

function difference(before: PeerUsage, after: PeerUsage): PeerUsage {
  return {
    ...after,
    reports: after.reports - before.reports,
    processorMs: after.processorMs - before.processorMs,
  };
}

/** Lets each router report its own requests, one after the other. */
function reportCrash(crash: number, stubs: readonly StubRouter[]): void {
  for (const [index, { connections }] of stubs.entries()) {
    const report = createReport(crash, index);
    const delayMs = (FOUND_WITHIN_MS * index) / stubs.length;
    setTimeout(() => {
      for (const connection of connections.values()) connection.send(report);
    }, delayMs);
  }
}

function createReport(crash: number, router: number): CrashReport {
  const requests = Array.from({ length: REQUESTS }, (_, request) => {
    const own = `${crash}-${router}-${request}`;
    // The first part is shared by some, as prompts of one application are.
    const parts = Array.from({ length: PARTS }, (_, part) =>
      part === 0 ? `shared-${router % 8}` : `part-${own}-${part}`,
    );
    return [`fingerprint-${own}`, parts] as const;
  });
  const type = "crash-report";
  return { type, crash: `crash-${crash}`, ageMs: 0, requests, cleared: [] };
}
