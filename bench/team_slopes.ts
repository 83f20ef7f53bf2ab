/** Cost per team that waits, and per team in the configuration. */

import { sleep } from "../src/common/promises.ts";
import { type Document, hashKey } from "../src/configuration/mod.ts";
import type { Connection } from "../src/transport/mod.ts";
import type { Fleet, Member } from "../tools/fleet/fleet.ts";
import { type ProcessReading, readProcess } from "./control.ts";
import { fitLine } from "./fit.ts";
import {
  createPlan,
  endpoint,
  SETTLE_MS,
  sideProcessOf,
  untilStatusReaches,
  WINDOW_MS,
  withFleet,
} from "./process_usage.ts";
import { createSlope, type Slope } from "./slope.ts";
import { createStubIdentity, dialAsStub } from "./stub_peers.ts";

/** Configuration changes over which the cost of one is averaged. */
const CHANGES_PER_SIZE = 5;

/**
 * Measures the processor time of a grant by the number of waiting teams. A stub
 * router returns each grant at once, with one request still waiting.
 */
export async function measureTeamsWaiting(
  sizes: readonly number[],
): Promise<Slope[]> {
  const perGrant: number[] = [];
  for (const size of sizes) {
    perGrant.push(
      await withFleet(createPlan(), async (fleet) => {
        const side = sideProcessOf(fleet);
        let grants = 0;
        const dialer = dialAsStub(
          createStubIdentity("router", "light", ""),
          endpoint(side),
          {
            onConnection: (connection) => sendDemand(connection, size),
            onMessage: (connection, message) => {
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
        const before = await readProcess(fleet, side);
        const grantsBefore = grants;
        await sleep(WINDOW_MS / 2);
        const after = await readProcess(fleet, side);
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
      ...{ sizes, values: perGrant, fit: fitLine(sizes, perGrant) },
    },
  ];
}

/** Reports one waiting request for each team. */
function sendDemand(connection: Connection, teams: number): void {
  connection.send({
    type: "demand",
    teams: Array.from({ length: teams }, (_, index) => [
      `team-${index}`,
      1,
      index,
    ]),
  });
}

/**
 * Measures resident memory, and processor time and bytes sent per change of the
 * configuration, by the number of teams in it.
 */
export async function measureTeamsKnown(
  sizes: readonly number[],
): Promise<Slope[]> {
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
        "side process": sideProcessOf(fleet),
      };
      const before = await readMembers(fleet, members);
      for (let change = 1; change <= CHANGES_PER_SIZE; change += 1) {
        const document = withTeams(fleet.plan.document, size, change);
        const version = await fleet.configure(document);
        for (const member of Object.values(members)) {
          await untilStatusReaches(
            fleet,
            member as Member,
            "configurationVersion",
            version,
          );
        }
      }
      const after = await readMembers(fleet, members);
      for (const role of roles) {
        const [start, end] = [before[role], after[role]];
        memory.get(role)?.push(end.residentBytes / 2 ** 20);
        const millis = (end.cpuSeconds - start.cpuSeconds) * 1_000;
        changes.get(role)?.push(millis / CHANGES_PER_SIZE);
        const sent = end.totals.controlBytes - start.totals.controlBytes;
        bytes.get(role)?.push(sent / CHANGES_PER_SIZE);
      }
    });
  }
  return roles.flatMap((role) => [
    createSlope(`${role}: resident memory`, "team known", "MB", {
      sizes,
      values: memory.get(role) ?? [],
    }),
    createSlope(`${role}: processor time of a change`, "team known", "ms", {
      sizes,
      values: changes.get(role) ?? [],
    }),
    createSlope(`${role}: bytes sent for a change`, "team known", "bytes", {
      sizes,
      values: bytes.get(role) ?? [],
    }),
  ]);
}

type Role = "router" | "side process";

async function readMembers(
  fleet: Fleet,
  members: Record<Role, Member | undefined>,
): Promise<Record<Role, ProcessReading>> {
  return {
    router: await readProcess(fleet, members.router as Member),
    "side process": await readProcess(fleet, members["side process"] as Member),
  };
}

/** Returns a document of `count` teams; only team `change` is "large". */
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
