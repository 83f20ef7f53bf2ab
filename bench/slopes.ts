/** What each role costs per connection, team, grant, update and change. */

import { sleep } from "../src/common/signal.ts";
import type { Document } from "../src/configuration/mod.ts";
import { hashKey } from "../src/configuration/mod.ts";
import type { Connection } from "../src/transport/mod.ts";
import { deskDeployment } from "../tools/fleet/deployments.ts";
import { Fleet, type Member } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { freePorts } from "../tools/fleet/ports.ts";
import { until } from "../tools/fleet/until.ts";
import { type MemberReading, readMember } from "./control.ts";
import { type Fit, fit } from "./fit.ts";
import { createIdentity, dial, listen } from "./light_peers.ts";

const WINDOW_MS = 12_000;
const SETTLE_MS = 3_000;
const TIMEOUT_MS = 60_000;
const SERVICE = "desk-model";
const HOST = "127.0.0.1";
/** Updates a second that each light side process sends. */
const UPDATES_PER_SECOND = 10;
const CHANGES = 5;

/** One measured dependency. */
export interface Slope {
  readonly name: string;
  readonly of: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly fit: Fit;
}

/** What a process used in a window. */
interface Usage {
  readonly cpuShare: number;
  readonly residentMegabytes: number;
  readonly controlBytesPerSecond: number;
}

/** Measures every slope, one real process at a time. */
export async function measureSlopes(): Promise<Slope[]> {
  return [
    ...(await routerConnections([2, 50, 100])),
    ...(await sideProcessConnections([8, 104, 312])),
    ...(await peerUpdates([2, 13, 27])),
    ...(await teamsWaiting([10, 200, 1_700])),
    ...(await teamsKnown([100, 4_000, 17_000])),
  ];
}

/** A side process with light routers. */
async function routerConnections(sizes: readonly number[]): Promise<Slope[]> {
  const usages: Usage[] = [];
  for (const size of sizes) {
    usages.push(
      await withFleet(createPlan(), async (fleet) => {
        const side = sideOf(fleet);
        const dialers = Array.from({ length: size }, (_, index) =>
          dial(createIdentity("router", `light-${index}`, ""), linkOf(side)),
        );
        await reaches(fleet, side, "routers", size + 1);
        const usage = await usageOf(fleet, side);
        for (const dialer of dialers) dialer.close();
        return usage;
      }),
    );
  }
  return slopesOf("side process", "router connected", sizes, { usages });
}

/** A router with light side processes. */
async function sideProcessConnections(
  sizes: readonly number[],
): Promise<Slope[]> {
  const usages: Usage[] = [];
  for (const size of sizes) {
    usages.push(
      await withFleet(createPlan(), async (fleet) => {
        const [router] = fleet.routers as [Member];
        const listeners = await Promise.all(
          Array.from({ length: size }, (_, index) => addSide(fleet, index)),
        );
        await reaches(fleet, router, "sideProcesses", size + 1);
        const usage = await usageOf(fleet, router);
        await Promise.all(listeners.map((listener) => listener.close()));
        return usage;
      }),
    );
  }
  return slopesOf("router", "side process connected", sizes, { usages });
}

async function addSide(
  fleet: Fleet,
  index: number,
): Promise<Awaited<ReturnType<typeof listen>>> {
  // Eight of a service: a router connects to no more of each.
  const service = `light-${Math.floor(index / 8)}`;
  const name = `${service}-${index}`;
  const [port] = (await freePorts(1)) as [number];
  const identity = createIdentity("side-process", name, service);
  const listener = await listen(identity, { host: HOST, port });
  await fleet.register({
    ...{ name, role: "side-process", service, host: HOST, port },
    adminPort: 1,
    availabilityZone: "light",
    state: "live",
  });
  return listener;
}

/** A side process with light peers that send counters. */
async function peerUpdates(sizes: readonly number[]): Promise<Slope[]> {
  const usages: Usage[] = [];
  for (const size of sizes) {
    usages.push(
      await withFleet(createPlan(), async (fleet) => {
        const side = sideOf(fleet);
        const timers: NodeJS.Timeout[] = [];
        const dialers = Array.from({ length: size }, (_, index) => {
          const identity = createIdentity(
            "side-process",
            `a-${index}`,
            SERVICE,
          );
          return dial(identity, linkOf(side), {
            greet: (connection) => timers.push(sendUpdates(connection, index)),
          });
        });
        await reaches(fleet, side, "peers", size);
        const usage = await usageOf(fleet, side);
        for (const timer of timers) clearInterval(timer);
        for (const dialer of dialers) dialer.close();
        return usage;
      }),
    );
  }
  const of = `peer connected, ${UPDATES_PER_SECOND} updates a second`;
  return slopesOf("side process", of, sizes, { usages });
}

function sendUpdates(connection: Connection, peer: number): NodeJS.Timeout {
  let charged = 0;
  return setInterval(() => {
    charged += 1_600;
    const team = `team-${charged % 40}`;
    connection.send({
      type: "counters",
      entries: [[team, peer + 1, 0, charged, 0, true, ""]],
    });
  }, 1_000 / UPDATES_PER_SECOND);
}

/** Grants among many waiting teams; each is given back at once. */
async function teamsWaiting(sizes: readonly number[]): Promise<Slope[]> {
  const perGrant: number[] = [];
  for (const size of sizes) {
    perGrant.push(
      await withFleet(createPlan(), async (fleet) => {
        const side = sideOf(fleet);
        let grants = 0;
        const dialer = dial(
          createIdentity("router", "light", ""),
          linkOf(side),
          {
            greet: (connection) => demand(connection, size),
            react: (connection, message) => {
              if (message.type !== "grant") return;
              grants += 1;
              const { grant, team } = message;
              connection.send({
                type: "grant-unused",
                grant,
                team,
                waiting: 1,
              });
            },
          },
        );
        await sleep(SETTLE_MS);
        const before = await readMember(fleet, side);
        const grantsBefore = grants;
        await sleep(WINDOW_MS / 2);
        const after = await readMember(fleet, side);
        const micros = (after.cpuSeconds - before.cpuSeconds) * 1e6;
        const figure = micros / (grants - grantsBefore);
        dialer.close();
        return figure;
      }),
    );
  }
  return [
    {
      name: "side process: processor time of a grant",
      of: "team waiting",
      unit: "microseconds",
      ...{ sizes, values: perGrant, fit: fit(sizes, perGrant) },
    },
  ];
}

function demand(connection: Connection, teams: number): void {
  connection.send({
    type: "demand",
    teams: Array.from({ length: teams }, (_, index) => [
      `team-${index}`,
      1,
      index,
    ]),
  });
}

/** Memory and changes with many teams in the configuration. */
async function teamsKnown(sizes: readonly number[]): Promise<Slope[]> {
  const roles = ["router", "side process"] as const;
  const memory = new Map(roles.map((role) => [role, [] as number[]]));
  const changes = new Map(roles.map((role) => [role, [] as number[]]));
  const bytes = new Map(roles.map((role) => [role, [] as number[]]));
  for (const size of sizes) {
    await withFleet(createPlan(), async (fleet) => {
      await fleet.configure(withTeams(fleet.plan.document, size, 0));
      await sleep(SETTLE_MS);
      const members = {
        router: fleet.routers[0],
        "side process": sideOf(fleet),
      };
      const before = await readBoth(fleet, members);
      for (let change = 1; change <= CHANGES; change += 1) {
        const document = withTeams(fleet.plan.document, size, change);
        const version = await fleet.configure(document);
        for (const member of Object.values(members)) {
          await reaches(
            fleet,
            member as Member,
            "configurationVersion",
            version,
          );
        }
      }
      const after = await readBoth(fleet, members);
      for (const role of roles) {
        const [start, end] = [before[role], after[role]];
        memory.get(role)?.push(end.residentBytes / 2 ** 20);
        const millis = (end.cpuSeconds - start.cpuSeconds) * 1_000;
        changes.get(role)?.push(millis / CHANGES);
        const sent = end.totals.controlBytes - start.totals.controlBytes;
        bytes.get(role)?.push(sent / CHANGES);
      }
    });
  }
  return roles.flatMap((role) => [
    slope(`${role}: resident memory`, "team known", "MB", {
      sizes,
      values: memory.get(role) ?? [],
    }),
    slope(`${role}: processor time of a change`, "team known", "ms", {
      sizes,
      values: changes.get(role) ?? [],
    }),
    slope(`${role}: bytes sent for a change`, "team known", "bytes", {
      sizes,
      values: bytes.get(role) ?? [],
    }),
  ]);
}

type Role = "router" | "side process";

async function readBoth(
  fleet: Fleet,
  members: Record<Role, Member | undefined>,
): Promise<Record<Role, MemberReading>> {
  return {
    router: await readMember(fleet, members.router as Member),
    "side process": await readMember(fleet, members["side process"] as Member),
  };
}

/** A document with many teams, one of which differs by the change. */
function withTeams(
  document: Document,
  count: number,
  change: number,
): Document {
  const teams = Array.from({ length: count }, (_, index) => ({
    name: `team-${index}`,
    keyHash: hashKey(`key ${index}`),
    contract: index === change ? "large" : "small",
  }));
  return { ...document, teams, rules: [], targets: [] };
}

function createPlan(): Plan {
  const base = deskDeployment();
  const services = base.services
    .filter(({ name }) => name === SERVICE)
    .map((service) => ({ ...service, replicas: 1 }));
  return { ...base, routers: 1, services, logLevel: "warn" };
}

async function withFleet<T>(
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

function sideOf(fleet: Fleet): Member {
  const [side] = fleet.sideProcesses;
  if (side === undefined) throw new Error("Fleet has no side process");
  return side;
}

function linkOf({ instance }: Member): { host: string; port: number } {
  return { host: instance.host, port: instance.port };
}

async function reaches(
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

async function usageOf(fleet: Fleet, member: Member): Promise<Usage> {
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

function slopesOf(
  role: string,
  of: string,
  sizes: readonly number[],
  { usages }: { readonly usages: readonly Usage[] },
): Slope[] {
  const values = (read: (usage: Usage) => number) => usages.map(read);
  return [
    slope(`${role}: processor time`, of, "% of a core", {
      sizes,
      values: values(({ cpuShare }) => cpuShare * 100),
    }),
    slope(`${role}: resident memory`, of, "MB", {
      sizes,
      values: values(({ residentMegabytes }) => residentMegabytes),
    }),
    slope(`${role}: control traffic sent`, of, "bytes a second", {
      sizes,
      values: values(({ controlBytesPerSecond }) => controlBytesPerSecond),
    }),
  ];
}

function slope(
  name: string,
  of: string,
  unit: string,
  data: {
    readonly sizes: readonly number[];
    readonly values: readonly number[];
  },
): Slope {
  return { name, of, unit, ...data, fit: fit(data.sizes, data.values) };
}
