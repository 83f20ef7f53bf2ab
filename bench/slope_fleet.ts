/** A small fleet of which one process is measured. */

import { sleep } from "../src/common/signal.ts";
import { deskDeployment } from "../tools/fleet/deployments.ts";
import { Fleet, type Member } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { until } from "../tools/fleet/until.ts";
import { readMember } from "./control.ts";

/** Length of a measurement. */
export const WINDOW_MS = 12_000;
/** Left for connections and compilation to settle. */
export const SETTLE_MS = 3_000;
const TIMEOUT_MS = 60_000;
const SERVICE = "desk-model";

/** What a process used in a window. */
export interface Usage {
  readonly cpuShare: number;
  readonly residentMegabytes: number;
  readonly controlBytesPerSecond: number;
}

/** Returns one router and one side process before one engine. */
export function createPlan(): Plan {
  const base = deskDeployment();
  const services = base.services
    .filter(({ name }) => name === SERVICE)
    .map((service) => ({ ...service, replicas: 1 }));
  return { ...base, routers: 1, services, logLevel: "warn" };
}

/** Runs an action on a fleet and ends the fleet. */
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

/** Measures a fleet of its own for each size. */
export async function usagePerSize(
  sizes: readonly number[],
  measure: (fleet: Fleet, size: number) => Promise<Usage>,
): Promise<Usage[]> {
  const usages: Usage[] = [];
  for (const size of sizes) {
    const usage = await withFleet(createPlan(), (fleet) =>
      measure(fleet, size),
    );
    usages.push(usage);
  }
  return usages;
}

/** Returns the fleet's side process. */
export function sideOf(fleet: Fleet): Member {
  const [side] = fleet.sideProcesses;
  if (side === undefined) throw new Error("Fleet has no side process");
  return side;
}

/** Returns where peers connect to a process. */
export function linkOf({ instance }: Member): { host: string; port: number } {
  return { host: instance.host, port: instance.port };
}

/** Waits until a figure of `/status` reaches a count. */
export async function reaches(
  fleet: Fleet,
  member: Member,
  field: string,
  count: number,
): Promise<void> {
  await until(`${field} is ${count}`, TIMEOUT_MS, {
    holds: async () => {
      const status = await fleet.status(member);
      return Number(status?.[field] ?? 0) >= count;
    },
  });
}

/** Measures what a process uses over a window. */
export async function usageOf(fleet: Fleet, member: Member): Promise<Usage> {
  await sleep(SETTLE_MS);
  const before = await readMember(fleet, member);
  await sleep(WINDOW_MS);
  const after = await readMember(fleet, member);
  const seconds = (after.atMs - before.atMs) / 1_000;
  const sent = after.totals.controlBytes - before.totals.controlBytes;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    residentMegabytes: after.residentBytes / 2 ** 20,
    controlBytesPerSecond: sent / seconds,
  };
}
