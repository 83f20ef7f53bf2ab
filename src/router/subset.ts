/** Chooses the side processes that a router connects to. */

import { type Instance, rank } from "../platform/mod.ts";

/** Connections of a router per service; limits their number in a large fleet. */
const SUBSET_SIZE = 8;

/**
 * Returns the side processes that a router connects to: all of a small service,
 * else a stable subset spread over availability zones.
 */
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

/** Orders instances by taking one of each zone in turn, in rank order. */
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
