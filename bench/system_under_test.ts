/** Starts what is measured: the product or a baseline, with equal engines. */

import { Child } from "../tools/fleet/child.ts";
import { Fleet } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { freePorts } from "../tools/fleet/ports.ts";
import { until } from "../tools/fleet/until.ts";
import type { Policy } from "./baselines/policy.ts";

const START_TIMEOUT_MS = 20_000;

/** The product, or a baseline by the name of its policy. */
export type Design = "oriolerouter" | Policy;

/** A running design that load can be sent to. */
export interface SystemUnderTest {
  readonly routerUrls: readonly string[];
  readonly engineUrls: readonly string[];
  /** The product's fleet; null for a baseline. */
  readonly fleet: Fleet | null;
  stop(): Promise<void>;
}

/** Starts a design; throws if its processes don't listen in time. */
export async function startSystemUnderTest(
  design: Design,
  plan: Plan,
): Promise<SystemUnderTest> {
  if (design !== "oriolerouter") return await startBaseline(design, plan);
  const fleet = await Fleet.start(plan);
  return {
    routerUrls: fleet.routers.map(({ url }) => url),
    engineUrls: fleet.backends.map(({ url }) => url),
    fleet,
    stop: () => fleet.stop(),
  };
}

async function startBaseline(
  policy: Policy,
  plan: Plan,
): Promise<SystemUnderTest> {
  const [service] = plan.services;
  if (service === undefined) throw new Error("Plan has no service");
  const ports = await freePorts(service.replicas + plan.routers);
  const enginePorts = ports.slice(0, service.replicas);
  const routerPorts = ports.slice(service.replicas);
  const engineUrls = enginePorts.map((port) => `http://127.0.0.1:${port}`);
  const engines = enginePorts.map((port) =>
    Child.start("engine", "stand_ins/engine/main.js", [
      ...["--port", String(port), "--step-ms", String(service.stepMs)],
      ...["--slots", String(service.slots)],
    ]),
  );
  const weights = Object.fromEntries(
    plan.teams.map(({ key }, index) => [key, weightOf(plan, index)]),
  );
  const slotsPerRouter = Math.max(1, Math.floor(service.slots / plan.routers));
  const routers = routerPorts.map((port) =>
    Child.start(policy, "bench/baselines/main.js", [
      ...["--port", String(port), "--policy", policy],
      ...["--engines", engineUrls.join(","), "--share", String(slotsPerRouter)],
      ...["--teams", JSON.stringify(weights)],
    ]),
  );
  const routerUrls = routerPorts.map((port) => `http://127.0.0.1:${port}`);
  await untilListening([...engineUrls, ...routerUrls]);
  return {
    ...{ routerUrls, engineUrls, fleet: null },
    stop: async () => {
      await Promise.all([...routers, ...engines].map((one) => one.kill()));
    },
  };
}

function weightOf({ document }: Plan, index: number): number {
  const contract = document.teams[index]?.contract;
  return document.contracts.find(({ name }) => name === contract)?.weight ?? 1;
}

async function untilListening(urls: readonly string[]): Promise<void> {
  await until("every process listens", START_TIMEOUT_MS, {
    holds: async () => {
      const tries = urls.map((url) =>
        fetch(`${url}/health`).then(
          () => true,
          () => false,
        ),
      );
      return (await Promise.all(tries)).every((up) => up);
    },
  });
}
