/** Control traffic, processor time, memory and slot use of a fleet. */

import type { TrafficTotals } from "../src/transport/mod.ts";
import type { Member } from "../tools/fleet/fleet.ts";
import { type Fleet, OPERATOR_KEY } from "../tools/fleet/fleet.ts";

const SLOT_STATES = ["running", "granted", "idle", "paused"];

/** Totals of one process since its start, read at one moment. */
export interface ProcessReading {
  readonly role: string;
  readonly atMs: number;
  readonly totals: TrafficTotals;
  /** Messages sent, by type. */
  readonly messages: Readonly<Record<string, number>>;
  /** Calls to the platform's API. */
  readonly platformCalls: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Slot seconds by state; all 0 for a router. */
  readonly slotSeconds: Readonly<Record<string, number>>;
}

/** Readings of all processes of a fleet, by instance name. */
export type FleetReading = ReadonlyMap<string, ProcessReading>;

/** Figures of one role: the mean over its processes. */
export interface RoleFigures {
  readonly processes: number;
  /** Control traffic sent, without requests and answers. */
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly platformCallsPerSecond: number;
  /** Processor time as a share of one core; 1 is a full core. */
  readonly cpuShare: number;
  /** At the end of the window, in units of 2^20 bytes. */
  readonly residentMegabytes: number;
  /** Messages sent a second, by type. */
  readonly messagesByType: Readonly<Record<string, number>>;
  /** Share of slot time spent in each state, from 0 to 1. */
  readonly slotShares: Readonly<Record<string, number>>;
}

/** Figures by role. */
export type ControlFigures = Readonly<Record<string, RoleFigures>>;

/** Reads every process; returns null for a baseline, which has no fleet. */
export async function readFleet(
  fleet: Fleet | null,
): Promise<FleetReading | null> {
  if (fleet === null) return null;
  const members = [...fleet.routers, ...fleet.sideProcesses];
  const readings = await Promise.all(
    members.map(async (member): Promise<[string, ProcessReading]> => {
      return [member.instance.name, await readProcess(fleet, member)];
    }),
  );
  return new Map(readings);
}

/** Returns the figures between two readings; null if one is missing. */
export function computeControlFigures(
  before: FleetReading | null,
  after: FleetReading | null,
): ControlFigures | null {
  if (before === null || after === null) return null;
  const roles = new Map<string, RoleFigures[]>();
  for (const [name, end] of after) {
    const start = before.get(name);
    if (start === undefined) continue;
    const figuresOfRole = roles.get(end.role) ?? [];
    figuresOfRole.push(ratesBetween(start, end));
    roles.set(end.role, figuresOfRole);
  }
  return Object.fromEntries(
    [...roles].map(([role, figures]) => [role, averageFigures(figures)]),
  );
}

/** Reads `/status` and `/metrics` of one process. */
export async function readProcess(
  fleet: Fleet,
  member: Member,
): Promise<ProcessReading> {
  const status = await fleet.status(member);
  const response = await fetch(`${member.adminUrl}/metrics`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  });
  const text = await response.text();
  const gauge = (name: string) =>
    Number(new RegExp(`^${name} (.+)$`, "m").exec(text)?.[1] ?? 0);
  return {
    role: member.instance.role,
    atMs: performance.now(),
    totals: status?.traffic as TrafficTotals,
    messages: status?.messages as Record<string, number>,
    platformCalls: gauge("oriole_platform_calls"),
    cpuSeconds: gauge("oriole_cpu_seconds"),
    residentBytes: gauge("oriole_resident_bytes"),
    slotSeconds: Object.fromEntries(
      SLOT_STATES.map((state) => [
        state,
        gauge(`oriole_slot_seconds_${state}`),
      ]),
    ),
  };
}

function ratesBetween(start: ProcessReading, end: ProcessReading): RoleFigures {
  const seconds = (end.atMs - start.atMs) / 1_000;
  const rate = (a: number, b: number) => (b - a) / seconds;
  const types = Object.keys(end.messages);
  const spent = SLOT_STATES.map(
    (state) => (end.slotSeconds[state] ?? 0) - (start.slotSeconds[state] ?? 0),
  );
  const all = spent.reduce((sum, one) => sum + one, 0);
  return {
    processes: 1,
    bytesPerSecond: rate(start.totals.controlBytes, end.totals.controlBytes),
    messagesPerSecond: rate(
      start.totals.controlMessages,
      end.totals.controlMessages,
    ),
    platformCallsPerSecond: rate(start.platformCalls, end.platformCalls),
    cpuShare: rate(start.cpuSeconds, end.cpuSeconds),
    residentMegabytes: end.residentBytes / 2 ** 20,
    slotShares: Object.fromEntries(
      SLOT_STATES.map((state, at) => [
        state,
        all === 0 ? 0 : (spent[at] ?? 0) / all,
      ]),
    ),
    messagesByType: Object.fromEntries(
      types.map((type) => [
        type,
        rate(start.messages[type] ?? 0, end.messages[type] ?? 0),
      ]),
    ),
  };
}

function averageFigures(figures: readonly RoleFigures[]): RoleFigures {
  const average = (value: (one: RoleFigures) => number) =>
    figures.reduce((sum, one) => sum + value(one), 0) / figures.length;
  const types = new Set(
    figures.flatMap((one) => Object.keys(one.messagesByType)),
  );
  return {
    processes: figures.length,
    bytesPerSecond: average((one) => one.bytesPerSecond),
    messagesPerSecond: average((one) => one.messagesPerSecond),
    platformCallsPerSecond: average((one) => one.platformCallsPerSecond),
    cpuShare: average((one) => one.cpuShare),
    residentMegabytes: average((one) => one.residentMegabytes),
    slotShares: Object.fromEntries(
      SLOT_STATES.map((state) => [
        state,
        average((one) => one.slotShares[state] ?? 0),
      ]),
    ),
    messagesByType: Object.fromEntries(
      [...types].map((type) => [
        type,
        average((one) => one.messagesByType[type] ?? 0),
      ]),
    ),
  };
}
