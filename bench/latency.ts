/** Time that router and side process add to the first token. */

import { sleep } from "../src/common/signal.ts";
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
import { readTicks, stolenShare } from "./stolen_time.ts";

const RATE_PER_SECOND = 200;
const TOKENS = 4;
const SLOTS = 64;
/** Calls before the measurement, so that code is compiled. */
const WARM_UP_MS = 5_000;
const CLOSED_CALLERS = 64;

/** Figures of one run. */
export interface LatencyFigures {
  readonly ratePerSecond: number;
  readonly calls: number;
  readonly direct: Percentiles;
  readonly routed: Percentiles;
  /** Difference of the percentiles, not percentile of differences. */
  readonly added: Percentiles;
  /** Processor time that the host withheld meanwhile; null if not told. */
  readonly stolenShare: number | null;
  /** Requests a second per core of router time, callers in a closed loop. */
  readonly routerRequestsPerCoreSecond: number;
  readonly closedRequestsPerSecond: number;
}

interface Percentiles {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Calls engines directly and through the product, in turn. */
export async function measureLatency(options: {
  readonly seed: number;
  readonly durationMs: number;
}): Promise<LatencyFigures> {
  const fleet = await Fleet.start(createPlan());
  try {
    const { seed, durationMs } = options;
    await alternate(fleet, new Random(seed + 1), WARM_UP_MS);
    const ticks = await readTicks();
    const times = await alternate(fleet, new Random(seed), durationMs);
    const stolen = stolenShare(ticks, await readTicks());
    const direct = percentiles(times.direct);
    const routed = percentiles(times.routed);
    const closed = await closedLoop(fleet, durationMs / 2);
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

interface Times {
  readonly direct: number[];
  readonly routed: number[];
}

async function alternate(
  fleet: Fleet,
  random: Random,
  durationMs: number,
): Promise<Times> {
  const times: Times = { direct: [], routed: [] };
  const calls: Promise<void>[] = [];
  const startMs = performance.now();
  // Direct calls come on top, so that routed ones have the full rate.
  let atMs = random.interval(RATE_PER_SECOND * 2);
  for (let number = 0; atMs < durationMs; number += 1) {
    await sleep(Math.max(0, startMs + atMs - performance.now()));
    const routed = number % 2 === 0;
    const into = routed ? times.routed : times.direct;
    calls.push(call(fleet, number, routed).then((ms) => void into.push(ms)));
    atMs += random.interval(RATE_PER_SECOND * 2);
  }
  await Promise.all(calls);
  return times;
}

async function call(
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
    throw new Error(`Call ${number} ended as ${result.type} ${result.code}`);
  }
  return (result.firstTokenMs ?? result.endedMs) - result.startedMs;
}

function percentiles(values: readonly number[]): Percentiles {
  return {
    p50Ms: percentile(values, 50) ?? 0,
    p99Ms: percentile(values, 99) ?? 0,
  };
}

async function closedLoop(
  fleet: Fleet,
  durationMs: number,
): Promise<{
  routerRequestsPerCoreSecond: number;
  closedRequestsPerSecond: number;
}> {
  const [router] = fleet.routers;
  if (router === undefined) throw new Error("Fleet has no router");
  const cpuBefore = await cpuSeconds(router);
  const startMs = performance.now();
  let done = 0;
  const loops = Array.from({ length: CLOSED_CALLERS }, async (_, index) => {
    while (performance.now() - startMs < durationMs) {
      await call(fleet, index * 1_000_000 + done, true);
      done += 1;
    }
  });
  await Promise.all(loops);
  const seconds = (performance.now() - startMs) / 1_000;
  const cpu = (await cpuSeconds(router)) - cpuBefore;
  return {
    routerRequestsPerCoreSecond: done / cpu,
    closedRequestsPerSecond: done / seconds,
  };
}

async function cpuSeconds(member: Member): Promise<number> {
  const response = await fetch(`${member.adminUrl}/metrics`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  });
  const text = await response.text();
  return Number(/^oriole_cpu_seconds (.+)$/m.exec(text)?.[1] ?? 0);
}
