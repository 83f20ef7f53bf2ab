/** Measures what one process of a small fleet uses. */

import { sleep } from "../src/common/promises.ts";
import { deskDeployment } from "../tools/fleet/deployments.ts";
import { Fleet, type Member } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { until } from "../tools/fleet/until.ts";
import { readProcess } from "./control.ts";

/** Length of the measurement window. */
export const WINDOW_MS = 12_000;
/** Wait before a window for connections to open and code to be compiled. */
export const SETTLE_MS = 3_000;
const STATUS_TIMEOUT_MS = 60_000;
const SERVICE = "desk-model";

/** What a process used in a measurement window. */
export interface ProcessUsage {
  /** Processor time as a share of one core; 1 is a full core. */
  readonly cpuShare: number;
  /** At the end of the window, in units of 2^20 bytes. */
  readonly residentMegabytes: number;
  /** Sent, without the messages that carry requests or answers. */
  readonly controlBytesPerSecond: number;
}

/** Plans a fleet of one router, one side process and its one engine. */
export function createPlan(): Plan {
  const base = deskDeployment();
  const services = base.services
    .filter(({ name }) => name === SERVICE)
    .map((service) => ({ ...service, replicas: 1 }));
  return { ...base, routers: 1, services, logLevel: "warn" };
}

/** Starts a fleet, runs an action on it and stops the fleet. */
export async function withFleet<T>(
  plan: Plan,
  action: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = await Fleet.start(plan);
  try {
    return await action(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Calls `measure` with a new fleet for each size. */
export async function measureUsagePerSize(
  sizes: readonly number[],
  measure: (fleet: Fleet, size: number) => Promise<ProcessUsage>,
): Promise<ProcessUsage[]> {
  const usages: ProcessUsage[] = [];
  for (const size of sizes) {
    const usage = await withFleet(createPlan(), (fleet) =>
      measure(fleet, size),
    );
    usages.push(usage);
  }
  return usages;
}

/** Returns the fleet's first side process; throws if it has none. */
export function sideProcessOf(fleet: Fleet): Member {
  const [side] = fleet.sideProcesses;
  if (side === undefined) throw new Error("Fleet has no side process");
  return side;
}

/** Returns the address at which a process accepts connections of peers. */
export function endpoint({ instance }: Member): { host: string; port: number } {
  return { host: instance.host, port: instance.port };
}

/** Waits until a field of `/status` is `count` or more. */
export async function untilStatusReaches(
  fleet: Fleet,
  member: Member,
  field: string,
  count: number,
): Promise<void> {
  await until(`${field} in /status is at least ${count}`, STATUS_TIMEOUT_MS, {
    holds: async () => {
      const status = await fleet.status(member);
      return Number(status?.[field] ?? 0) >= count;
    },
  });
}

/** Waits for the process to settle, then measures it over a window. */
export async function measureUsage(
  fleet: Fleet,
  member: Member,
): Promise<ProcessUsage> {
  await sleep(SETTLE_MS);
  const before = await readProcess(fleet, member);
  await sleep(WINDOW_MS);
  const after = await readProcess(fleet, member);
  const seconds = (after.atMs - before.atMs) / 1_000;
  const sent = after.totals.controlBytes - before.totals.controlBytes;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    residentMegabytes: after.residentBytes / 2 ** 20,
    controlBytesPerSecond: sent / seconds,
  };
}
