/** Steps that disturb connections and the platform. */

import type { Direction, Link } from "../../../tools/fleet/link.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** Adds the steps. */
export function addLinkSteps(steps: StepRegistry<World>): void {
  addLinks(steps, "to side process {int}", (world, index) => {
    return world.fleet.sideProcesses[index]?.link;
  });
  addLinks(steps, "to backend server {int}", (world, index) => {
    return world.fleet.backends[index]?.link;
  });
  addLinks(steps, "of callers to router {int}", (world, index) => {
    return world.fleet.routers[index]?.link;
  });
  addLinks(steps, "to the platform", (world) => world.fleet.platformLink);
  addSelectiveSteps(steps);
  addPlatformSteps(steps);
}

/** Steps that hit the connections of some processes only. */
function addSelectiveSteps(steps: StepRegistry<World>): void {
  steps.define(
    "router {int} is cut off from every side process",
    (world, index: number) => {
      const { name = "" } = world.fleet.routers[index]?.instance ?? {};
      for (const link of sideLinks(world)) link.partitionFrom(name);
    },
  );
  steps.define("the ways to all side processes heal", (world) => {
    for (const link of sideLinks(world)) link.heal();
  });
  steps.define("the connections between side processes go silent", (world) => {
    for (const link of sideLinks(world)) {
      link.freeze(["up", "down"], "side-process");
    }
  });
}

function sideLinks(world: World): Link[] {
  const links = world.fleet.sideProcesses.map(({ link }) => link);
  return links.map((link) => {
    if (link === null) throw new Error("There are no links to side processes");
    return link;
  });
}

function addLinks(
  steps: StepRegistry<World>,
  place: string,
  find: (world: World, index: number) => Link | null | undefined,
): void {
  const link = (world: World, index: number) => {
    const found = find(world, index ?? 0);
    if (!found) throw new Error(`There is no link ${place}`);
    return found;
  };
  const freeze = (directions: readonly Direction[]) => {
    return (world: World, index: number) => {
      link(world, index).freeze(directions);
    };
  };
  steps.define(`the connections ${place} are cut`, (world, index: number) => {
    link(world, index).cut();
  });
  steps.define(`the connections ${place} go silent`, freeze(["up", "down"]));
  steps.define(
    `the connections ${place} go silent on the way there`,
    freeze(["up"]),
  );
  steps.define(
    `the connections ${place} go silent on the way back`,
    freeze(["down"]),
  );
  steps.define(`the way ${place} is cut off`, (world, index: number) => {
    link(world, index).partition();
  });
  steps.define(`the way ${place} heals`, (world, index: number) => {
    link(world, index).heal();
  });
}

function addPlatformSteps(steps: StepRegistry<World>): void {
  const fault = (text: string, switches: object) => {
    steps.define(text, async (world) => {
      await world.fleet.control("/faults", switches);
    });
  };
  fault("the platform is down", { outage: true });
  fault("the platform answers from the version before", { stale: true });
  fault("the platform hangs", { silent: true });
  fault("the platform works", {
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
      world.notes.set("leaving at", Date.now());
    },
  );
}
