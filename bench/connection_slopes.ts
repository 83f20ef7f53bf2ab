/** Cost per connection of a router or side process, and of peers' updates. */

import type { Connection } from "../src/transport/mod.ts";
import type { Fleet, Member } from "../tools/fleet/fleet.ts";
import { freePorts } from "../tools/fleet/ports.ts";
import {
  endpoint,
  measureUsage,
  measureUsagePerSize,
  sideProcessOf,
  untilStatusReaches,
} from "./process_usage.ts";
import { createUsageSlopes, type Slope } from "./slope.ts";
import { createStubIdentity, dialAsStub, listenAsStub } from "./stub_peers.ts";

const SERVICE = "desk-model";
const HOST = "127.0.0.1";
/** One ledger epoch for all updates, as for teams that all peers know. */
const EPOCH = 1_000;
/** Ledger updates that each stub side process sends. */
const UPDATES_PER_SECOND = 10;

/** Measures a side process by the number of stub routers connected. */
export async function measureRouterConnections(
  sizes: readonly number[],
): Promise<Slope[]> {
  const usages = await measureUsagePerSize(sizes, async (fleet, size) => {
    const side = sideProcessOf(fleet);
    const dialers = Array.from({ length: size }, (_, index) =>
      dialAsStub(
        createStubIdentity("router", `light-${index}`, ""),
        endpoint(side),
      ),
    );
    await untilStatusReaches(fleet, side, "routers", size + 1);
    const usage = await measureUsage(fleet, side);
    for (const dialer of dialers) dialer.close();
    return usage;
  });
  return createUsageSlopes("side process", "router connected", sizes, {
    usages,
  });
}

/** Measures a router by the number of stub side processes connected. */
export async function measureSideProcessConnections(
  sizes: readonly number[],
): Promise<Slope[]> {
  const usages = await measureUsagePerSize(sizes, async (fleet, size) => {
    const [router] = fleet.routers as [Member];
    const listeners = await Promise.all(
      Array.from({ length: size }, (_, index) =>
        addStubSideProcess(fleet, index),
      ),
    );
    await untilStatusReaches(fleet, router, "sideProcesses", size + 1);
    const usage = await measureUsage(fleet, router);
    await Promise.all(listeners.map((listener) => listener.close()));
    return usage;
  });
  return createUsageSlopes("router", "side process connected", sizes, {
    usages,
  });
}

/** Starts a stub side process and adds it to the instance list. */
async function addStubSideProcess(
  fleet: Fleet,
  index: number,
): Promise<Awaited<ReturnType<typeof listenAsStub>>> {
  // Eight per service: a router connects to at most eight of a service.
  const service = `light-${Math.floor(index / 8)}`;
  const name = `${service}-${index}`;
  const [port] = (await freePorts(1)) as [number];
  const identity = createStubIdentity("side-process", name, service);
  const listener = await listenAsStub(identity, { host: HOST, port });
  await fleet.register({
    ...{ name, role: "side-process", service, host: HOST, port },
    adminPort: 1,
    availabilityZone: "light",
    state: "live",
  });
  return listener;
}

/** Measures a side process by the number of stub peers that send updates. */
export async function measurePeerUpdates(
  sizes: readonly number[],
): Promise<Slope[]> {
  const usages = await measureUsagePerSize(sizes, async (fleet, size) => {
    const side = sideProcessOf(fleet);
    const timers: NodeJS.Timeout[] = [];
    const dialers = Array.from({ length: size }, (_, index) => {
      // Sorts before the side process: of two peers, the first by name dials.
      const identity = createStubIdentity(
        "side-process",
        `a-${index}`,
        SERVICE,
      );
      return dialAsStub(identity, endpoint(side), {
        onConnection: (connection) =>
          timers.push(startSendingUpdates(connection)),
      });
    });
    await untilStatusReaches(fleet, side, "peers", size);
    const usage = await measureUsage(fleet, side);
    for (const timer of timers) clearInterval(timer);
    for (const dialer of dialers) dialer.close();
    return usage;
  });
  const of = `peer connected, ${UPDATES_PER_SECOND} updates a second`;
  return createUsageSlopes("side process", of, sizes, { usages });
}

function startSendingUpdates(connection: Connection): NodeJS.Timeout {
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
