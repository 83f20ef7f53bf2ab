/** Steps that start a fleet and kill, pause, stop or restart its processes. */

import { sleep } from "../../../src/common/promises.ts";
import type { Child } from "../../../tools/fleet/child.ts";
import type { ProxyPlace } from "../../../tools/fleet/plan.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** Adds the step definitions. */
export function addFleetSteps(steps: StepRegistry<World>): void {
  steps.define("seed {int}", (world, seed: number) => {
    world.seed = seed;
  });
  steps.define(
    "fault proxies in front of each {word}",
    (world, place: ProxyPlace) => {
      world.proxies.add(place);
    },
  );
  steps.define(
    "a {word} fleet of {int} router(s), {int} replica(s) and {int} slot(s)",
    async (
      world,
      deployment: "desk" | "shop",
      routers: number,
      replicas: number,
      slots: number,
    ) => {
      await world.start({ routers, replicas, slots, deployment });
    },
  );
  steps.define("{int} ms pass", async (_world, ms: number) => {
    await sleep(ms);
  });
  addProcessSteps(steps, "router", (world, index) => {
    return requireProcess(world.fleet.routers[index]);
  });
  addProcessSteps(steps, "side process", (world, index) => {
    return requireProcess(world.fleet.sideProcesses[index]);
  });
  addProcessSteps(steps, "backend server", (world, index) => {
    return requireProcess(world.fleet.backends[index]);
  });
  addZoneSteps(steps);
  steps.define("every router reaches every side process", async (world) => {
    await world.fleet.ready();
  });
}

/** Steps that kill or restart all processes of an availability zone. */
function addZoneSteps(steps: StepRegistry<World>): void {
  steps.define(
    "availability zone {int} is lost",
    async (world, index: number) => {
      const found = processesInZone(world, index);
      await Promise.all(found.map(({ child }) => child.kill()));
    },
  );
  steps.define(
    "availability zone {int} comes back",
    async (world, index: number) => {
      for (const one of processesInZone(world, index)) await one.restart();
    },
  );
}

/** Lists backend servers first, the order in which operators start them. */
function processesInZone({ fleet }: World, index: number): Restartable[] {
  const zone = fleet.plan.availabilityZones[index];
  const members = [...fleet.sideProcesses, ...fleet.routers].filter(
    ({ instance }) => instance.availabilityZone === zone,
  );
  if (members.length === 0) throw new Error(`Zone ${index} has no process`);
  const backends = fleet.sideProcesses.filter(
    ({ instance }) => instance.availabilityZone === zone,
  );
  return [...backends.map(({ backend }) => backend), ...members];
}

interface Restartable {
  readonly child: Child;
  restart(): void | Promise<void>;
}

function addProcessSteps(
  steps: StepRegistry<World>,
  name: string,
  find: (world: World, index: number) => Restartable,
): void {
  steps.define(`${name} {int} is killed`, async (world, index: number) => {
    await find(world, index).child.kill();
  });
  steps.define(`${name} {int} pauses`, (world, index: number) => {
    find(world, index).child.signal("SIGSTOP");
  });
  steps.define(`${name} {int} resumes`, (world, index: number) => {
    find(world, index).child.signal("SIGCONT");
  });
  steps.define(`${name} {int} is told to stop`, (world, index: number) => {
    find(world, index).child.signal("SIGTERM");
  });
  steps.define(`${name} {int} ends`, async (world, index: number) => {
    await find(world, index).child.ended();
  });
  steps.define(`${name} {int} restarts`, async (world, index: number) => {
    await find(world, index).restart();
  });
}

function requireProcess<T>(value: T | undefined): T {
  if (value === undefined) throw new Error("The fleet has no such process");
  return value;
}
