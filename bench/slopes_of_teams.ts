/** What teams cost: those that wait, and those that are known. */

import { sleep } from "../src/common/signal.ts";
import { type Document, hashKey } from "../src/configuration/mod.ts";
import type { Connection } from "../src/transport/mod.ts";
import type { Fleet, Member } from "../tools/fleet/fleet.ts";
import { type MemberReading, readMember } from "./control.ts";
import { fit } from "./fit.ts";
import { createIdentity, dial } from "./light_peers.ts";
import { type Slope, slope } from "./slope.ts";
import {
  createPlan,
  linkOf,
  reaches,
  SETTLE_MS,
  sideOf,
  WINDOW_MS,
  withFleet,
} from "./slope_fleet.ts";

const CHANGES = 5;

/** Grants among many waiting teams; each is given back at once. */
export async function teamsWaiting(sizes: readonly number[]): Promise<Slope[]> {
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
export async function teamsKnown(sizes: readonly number[]): Promise<Slope[]> {
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
