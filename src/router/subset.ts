/** Which side processes a router connects to, so that connections stay few. */

import { type Instance, rank } from "../platform/mod.ts";

/** Side processes per service that a router connects to. */
const SUBSET_SIZE = 8;

/** Returns a subset of each service, spread over availability zones. */
export function chooseSubset(
  instances: readonly Instance[],
  router: string,
): Instance[] {
  const sideProcesses = instances.filter(({ role }) => role === "side-process");
  const services = new Set(sideProcesses.map(({ service }) => service));
  return [...services].flatMap((service) => {
    const replicas = sideProcesses.filter((one) => one.service === service);
    if (replicas.length <= SUBSET_SIZE) return replicas;
    // A leaving replica must not take the place of a live one.
    const live = replicas.filter(({ state }) => state === "live");
    const key = `${service}\n${router}`;
    return spreadOverZones(rank(live, key)).slice(0, SUBSET_SIZE);
  });
}

/** Takes from each availability zone in turn, in rank order. */
function spreadOverZones(ranked: readonly Instance[]): Instance[] {
  const zones = new Map<string, Instance[]>();
  for (const instance of ranked) {
    const zone = zones.get(instance.availabilityZone) ?? [];
    zone.push(instance);
    zones.set(instance.availabilityZone, zone);
  }
  const spread: Instance[] = [];
  while (spread.length < ranked.length) {
    for (const zone of zones.values()) {
      const next = zone.shift();
      if (next !== undefined) spread.push(next);
    }
  }
  return spread;
}
