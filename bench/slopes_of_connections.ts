/** What connections cost: routers, side processes, peers with updates. */

import type { Connection } from "../src/transport/mod.ts";
import type { Fleet, Member } from "../tools/fleet/fleet.ts";
import { freePorts } from "../tools/fleet/ports.ts";
import { createIdentity, dial, listen } from "./light_peers.ts";
import { type Slope, slopesOf } from "./slope.ts";
import {
  linkOf,
  reaches,
  sideOf,
  usageOf,
  usagePerSize,
} from "./slope_fleet.ts";

const SERVICE = "desk-model";
const HOST = "127.0.0.1";
/** One epoch for all, as for teams that all peers know. */
const EPOCH = 1_000;
/** Updates a second that each light side process sends. */
const UPDATES_PER_SECOND = 10;

/** A side process with light routers. */
export async function routerConnections(
  sizes: readonly number[],
): Promise<Slope[]> {
  const usages = await usagePerSize(sizes, async (fleet, size) => {
    const side = sideOf(fleet);
    const dialers = Array.from({ length: size }, (_, index) =>
      dial(createIdentity("router", `light-${index}`, ""), linkOf(side)),
    );
    await reaches(fleet, side, "routers", size + 1);
    const usage = await usageOf(fleet, side);
    for (const dialer of dialers) dialer.close();
    return usage;
  });
  return slopesOf("side process", "router connected", sizes, { usages });
}

/** A router with light side processes. */
export async function sideProcessConnections(
  sizes: readonly number[],
): Promise<Slope[]> {
  const usages = await usagePerSize(sizes, async (fleet, size) => {
    const [router] = fleet.routers as [Member];
    const listeners = await Promise.all(
      Array.from({ length: size }, (_, index) => addSide(fleet, index)),
    );
    await reaches(fleet, router, "sideProcesses", size + 1);
    const usage = await usageOf(fleet, router);
    await Promise.all(listeners.map((listener) => listener.close()));
    return usage;
  });
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
export async function peerUpdates(sizes: readonly number[]): Promise<Slope[]> {
  const usages = await usagePerSize(sizes, async (fleet, size) => {
    const side = sideOf(fleet);
    const timers: NodeJS.Timeout[] = [];
    const dialers = Array.from({ length: size }, (_, index) => {
      const identity = createIdentity("side-process", `a-${index}`, SERVICE);
      return dial(identity, linkOf(side), {
        greet: (connection) => timers.push(sendUpdates(connection)),
      });
    });
    await reaches(fleet, side, "peers", size);
    const usage = await usageOf(fleet, side);
    for (const timer of timers) clearInterval(timer);
    for (const dialer of dialers) dialer.close();
    return usage;
  });
  const of = `peer connected, ${UPDATES_PER_SECOND} updates a second`;
  return slopesOf("side process", of, sizes, { usages });
}

function sendUpdates(connection: Connection): NodeJS.Timeout {
  let charged = 0;
  return setInterval(() => {
    charged += 1_600;
    const team = `team-${charged % 40}`;
    connection.send({
      type: "counters",
      entries: [[team, EPOCH, 0, charged, 0, true, ""]],
    });
  }, 1_000 / UPDATES_PER_SECOND);
}
