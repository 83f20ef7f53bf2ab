/** Steps that inject faults into connections and into the platform. */

import type {
  Direction,
  FaultProxy,
} from "../../../tools/fleet/fault_proxy.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** Adds the step definitions. */
export function addFaultSteps(steps: StepRegistry<World>): void {
  addConnectionSteps(steps, "to side process {int}", (world, index) => {
    return world.fleet.sideProcesses[index]?.proxy;
  });
  addConnectionSteps(steps, "to backend server {int}", (world, index) => {
    return world.fleet.backends[index]?.proxy;
  });
  addConnectionSteps(steps, "of callers to router {int}", (world, index) => {
    return world.fleet.routers[index]?.proxy;
  });
  addConnectionSteps(
    steps,
    "to the platform",
    (world) => world.fleet.platformProxy,
  );
  addGroupSteps(steps);
  addPlatformSteps(steps);
}

/** Steps for the connections of one router, or of all side processes. */
function addGroupSteps(steps: StepRegistry<World>): void {
  steps.define(
    "router {int} is partitioned from every side process",
    (world, index: number) => {
      const { name = "" } = world.fleet.routers[index]?.instance ?? {};
      for (const proxy of sideProcessProxies(world)) proxy.partitionFrom(name);
    },
  );
  steps.define("the network paths to all side processes heal", (world) => {
    for (const proxy of sideProcessProxies(world)) proxy.heal();
  });
  steps.define("the connections between side processes go silent", (world) => {
    for (const proxy of sideProcessProxies(world)) {
      proxy.freeze(["up", "down"], "side-process");
    }
  });
}

function sideProcessProxies(world: World): FaultProxy[] {
  const proxies = world.fleet.sideProcesses.map(({ proxy }) => proxy);
  return proxies.map((proxy) => {
    if (proxy === null) throw new Error("Side processes have no proxies");
    return proxy;
  });
}

function addConnectionSteps(
  steps: StepRegistry<World>,
  place: string,
  find: (world: World, index: number) => FaultProxy | null | undefined,
): void {
  const proxyOf = (world: World, index: number) => {
    const found = find(world, index ?? 0);
    if (!found) throw new Error(`No fault proxy for the connections ${place}`);
    return found;
  };
  const freeze = (directions: readonly Direction[]) => {
    return (world: World, index: number) => {
      proxyOf(world, index).freeze(directions);
    };
  };
  steps.define(`the connections ${place} are cut`, (world, index: number) => {
    proxyOf(world, index).cut();
  });
  steps.define(`the connections ${place} go silent`, freeze(["up", "down"]));
  steps.define(`the connections ${place} go silent upstream`, freeze(["up"]));
  steps.define(
    `the connections ${place} go silent downstream`,
    freeze(["down"]),
  );
  steps.define(
    `the network path ${place} is partitioned`,
    (world, index: number) => {
      proxyOf(world, index).partition();
    },
  );
  steps.define(`the network path ${place} heals`, (world, index: number) => {
    proxyOf(world, index).heal();
  });
}

function addPlatformSteps(steps: StepRegistry<World>): void {
  const fault = (text: string, switches: object) => {
    steps.define(text, async (world) => {
      await world.fleet.control("/faults", switches);
    });
  };
  fault("the platform is down", { outage: true });
  fault("the platform answers with the previous version", { stale: true });
  fault("the platform hangs", { silent: true });
  fault("the platform recovers", {
    outage: false,
    silent: false,
    stale: false,
    delayMs: 0,
  });
  fault("the platform loses the next answer to an apply", {
    loseAnswers: 1,
    loseAnswersOf: "/v1/objects/configuration/active",
  });
  const amount = (text: string, name: string) => {
    steps.define(text, async (world, value: number) => {
      await world.fleet.control("/faults", { [name]: value });
    });
  };
  amount("the platform loses the next {int} answers", "loseAnswers");
  amount("the platform answers {int} ms late", "delayMs");
  amount("the instance list lags by {int} ms", "listLagMs");
  steps.define(
    "side process {int} is listed as leaving",
    async (world, index: number) => {
      const member = world.fleet.sideProcesses[index];
      if (member === undefined) throw new Error("No such side process");
      await world.fleet.register({ ...member.instance, state: "leaving" });
      world.stepValues.set("leaving at", Date.now());
    },
  );
}
