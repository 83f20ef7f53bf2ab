/** Measures the latency that router and side process add to the first token. */

import { sleep } from "../src/common/promises.ts";
import { deskDeployment } from "../tools/fleet/deployments.ts";
import {
  Fleet,
  keyOf,
  type Member,
  OPERATOR_KEY,
} from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { chat } from "../tools/load/caller.ts";
import { Random } from "../tools/load/random.ts";
import { percentile } from "../tools/load/summary.ts";
import { readCpuTicks, stealShare } from "./steal_time.ts";

/** Rate of routed calls; direct calls come at the same rate. */
const RATE_PER_SECOND = 200;
const TOKENS = 4;
const SLOTS = 64;
/** Length of the calls before the measurement, so that code is compiled. */
const WARM_UP_MS = 5_000;
/** Callers that send their next request once the last is answered. */
const CLOSED_CALLERS = 64;

/** Figures of one run; the times are those to the first token. */
export interface LatencyFigures {
  readonly ratePerSecond: number;
  /** Direct and routed calls together. */
  readonly calls: number;
  /** Calls straight to an engine. */
  readonly direct: Percentiles;
  /** Calls through the router. */
  readonly routed: Percentiles;
  /** Difference of the percentiles, not percentiles of the differences. */
  readonly added: Percentiles;
  /** Steal time during the calls, from 0 to 1; null if not reported. */
  readonly stolenShare: number | null;
  /** Closed-loop requests per second of the router's processor time. */
  readonly routerRequestsPerCoreSecond: number;
  /** Closed-loop requests per second of wall time. */
  readonly closedRequestsPerSecond: number;
}

interface Percentiles {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Alternates direct and routed calls; then a closed loop of routed calls. */
export async function measureLatency(options: {
  readonly seed: number;
  readonly durationMs: number;
}): Promise<LatencyFigures> {
  const fleet = await Fleet.start(createPlan());
  try {
    const { seed, durationMs } = options;
    await alternateCalls(fleet, new Random(seed + 1), WARM_UP_MS);
    const ticks = await readCpuTicks();
    const times = await alternateCalls(fleet, new Random(seed), durationMs);
    const stolen = stealShare(ticks, await readCpuTicks());
    const direct = percentiles(times.direct);
    const routed = percentiles(times.routed);
    const closed = await measureClosedLoop(fleet, durationMs / 2);
    return {
      ratePerSecond: RATE_PER_SECOND,
      calls: times.direct.length + times.routed.length,
      ...{ direct, routed },
      added: {
        p50Ms: routed.p50Ms - direct.p50Ms,
        p99Ms: routed.p99Ms - direct.p99Ms,
      },
      stolenShare: stolen,
      ...closed,
    };
  } finally {
    await fleet.stop();
  }
}

function createPlan(): Plan {
  const base = deskDeployment();
  const [model] = base.services;
  if (model === undefined) throw new Error("Deployment has no service");
  return {
    ...base,
    routers: 1,
    services: [{ ...model, replicas: 2, slots: SLOTS }],
    logLevel: "warn",
  };
}

interface FirstTokenTimes {
  readonly direct: number[];
  readonly routed: number[];
}

/** Sends Poisson arrivals, every second one direct; returns the times in ms. */
async function alternateCalls(
  fleet: Fleet,
  random: Random,
  durationMs: number,
): Promise<FirstTokenTimes> {
  const times: FirstTokenTimes = { direct: [], routed: [] };
  const calls: Promise<void>[] = [];
  const startMs = performance.now();
  // Twice the rate: half of the calls are direct, and routed calls alone are
  // to come at the full rate.
  let atMs = random.interval(RATE_PER_SECOND * 2);
  for (let number = 0; atMs < durationMs; number += 1) {
    await sleep(Math.max(0, startMs + atMs - performance.now()));
    const routed = number % 2 === 0;
    const into = routed ? times.routed : times.direct;
    calls.push(
      measureFirstTokenMs(fleet, number, routed).then(
        (ms) => void into.push(ms),
      ),
    );
    atMs += random.interval(RATE_PER_SECOND * 2);
  }
  await Promise.all(calls);
  return times;
}

/** Sends one stream; throws if it was not answered. */
async function measureFirstTokenMs(
  fleet: Fleet,
  number: number,
  routed: boolean,
): Promise<number> {
  const backend = fleet.backends[number % fleet.backends.length];
  const url = routed ? fleet.routers[0]?.url : backend?.url;
  const result = await chat({
    url: url ?? "",
    key: keyOf(fleet.plan.teams, "desk-01"),
    model: "desk-model",
    prompt: `Call ${number}`,
    maxTokens: TOKENS,
    stream: true,
  });
  if (result.type !== "answered") {
    throw new Error(
      `Call ${number} not answered: ${result.type} ${result.code}`,
    );
  }
  return (result.firstTokenMs ?? result.endedMs) - result.startedMs;
}

function percentiles(values: readonly number[]): Percentiles {
  return {
    p50Ms: percentile(values, 50) ?? 0,
    p99Ms: percentile(values, 99) ?? 0,
  };
}

async function measureClosedLoop(
  fleet: Fleet,
  durationMs: number,
): Promise<{
  routerRequestsPerCoreSecond: number;
  closedRequestsPerSecond: number;
}> {
  const [router] = fleet.routers;
  if (router === undefined) throw new Error("Fleet has no router");
  const cpuBefore = await readCpuSeconds(router);
  const startMs = performance.now();
  let done = 0;
  const loops = Array.from({ length: CLOSED_CALLERS }, async (_, index) => {
    while (performance.now() - startMs < durationMs) {
      await measureFirstTokenMs(fleet, index * 1_000_000 + done, true);
      done += 1;
    }
  });
  await Promise.all(loops);
  const seconds = (performance.now() - startMs) / 1_000;
  const cpu = (await readCpuSeconds(router)) - cpuBefore;
  return {
    routerRequestsPerCoreSecond: done / cpu,
    closedRequestsPerSecond: done / seconds,
  };
}

async function readCpuSeconds(member: Member): Promise<number> {
  const response = await fetch(`${member.adminUrl}/metrics`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  });
  const text = await response.text();
  return Number(/^oriole_cpu_seconds (.+)$/m.exec(text)?.[1] ?? 0);
}
