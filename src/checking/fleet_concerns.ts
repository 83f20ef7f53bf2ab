/** Checks of the configuration of routers that send straight to servers. */

import type {
  FleetConfiguration,
  Route,
  Service,
  Team,
} from "../routing/mod.ts";
import { type Concern, concern, duplicates } from "./concern.ts";

/** Returns all concerns about a configuration that a router can decode. */
export function findFleetConcerns(
  configuration: FleetConfiguration,
): Concern[] {
  const { routes, services, teams } = configuration;
  return [
    ...duplicates("routes", routes),
    ...duplicates("services", services),
    ...duplicates("teams", teams ?? []),
    ...routes.flatMap((route, index) => [
      ...checkDestinations(route, index, services),
      ...checkPath(route, index, routes),
      ...checkTimes(route, index),
      ...checkRegions(route, index, teams ?? []),
    ]),
    ...services.flatMap((service, index) =>
      checkService(service, index, routes),
    ),
    ...checkTeams(teams ?? []),
    ...checkLimits(configuration),
  ];
}

function checkDestinations(
  { name, destinations }: Route,
  index: number,
  services: readonly Service[],
): Concern[] {
  const path = `/routes/${index}`;
  if (destinations.length === 0) {
    const message = `Route "${name}" leads to no service`;
    return [concern("error", path, message)];
  }
  return destinations.flatMap(({ service, weight }) => {
    if (!services.some((known) => known.name === service)) {
      const message = `Service "${service}" of route "${name}" is not known`;
      return [concern("error", path, message)];
    }
    if (weight > 0) return [];
    const message = `Service "${service}" gets none of route "${name}": its weight is 0`;
    return [concern("never-matches", path, message)];
  });
}

function checkPath(
  { name, host, pathPrefix }: Route,
  index: number,
  routes: readonly Route[],
): Concern[] {
  const path = `/routes/${index}`;
  if (host === "" || !pathPrefix.startsWith("/")) {
    const message = `Route "${name}" can never match: no request has host "${host}" and a path with prefix "${pathPrefix}"`;
    return [concern("never-matches", path, message)];
  }
  const earlier = routes
    .slice(0, index)
    .find((other) => other.host === host && other.pathPrefix === pathPrefix);
  if (earlier === undefined) return [];
  const message = `Route "${name}" can never match: route "${earlier.name}" has the same host and prefix and stands first`;
  return [concern("never-matches", path, message)];
}

function checkTimes(
  { name, timeoutMs, objectiveMs }: Route,
  index: number,
): Concern[] {
  const path = `/routes/${index}`;
  if (timeoutMs === 0) {
    const message = `Route "${name}" gives its requests no time: its timeout is 0 ms`;
    return [concern("contradiction", path, message)];
  }
  if (objectiveMs <= timeoutMs) return [];
  const message = `Route "${name}" ends requests after ${timeoutMs} ms, before its target of ${objectiveMs} ms`;
  return [concern("contradiction", path, message)];
}

/** Regions of a route and of a team both bind. */
function checkRegions(
  { name, regions }: Route,
  index: number,
  teams: readonly Team[],
): Concern[] {
  if (regions === null) return [];
  return teams.flatMap((team) => {
    const isServed = team.regions?.some((one) => regions.includes(one)) ?? true;
    if (isServed) return [];
    const message = `Route "${name}" can't serve team "${team.name}": they share no region`;
    return [concern("contradiction", `/routes/${index}`, message)];
  });
}

function checkService(
  { name, maxConnections, engine }: Service,
  index: number,
  routes: readonly Route[],
): Concern[] {
  const path = `/services/${index}`;
  const found: Concern[] = [];
  const isUsed = routes.some(({ destinations }) =>
    destinations.some(({ service }) => service === name),
  );
  if (!isUsed) {
    const message = `Service "${name}" gets no requests: no route leads to it`;
    found.push(concern("never-matches", path, message));
  }
  if (engine === null) return found;
  if (engine.slots === 0 || engine.cacheTokens === 0) {
    const message = `Service "${name}" can run no request: its engines have ${engine.slots} slots and a cache of ${engine.cacheTokens} tokens`;
    found.push(concern("contradiction", path, message));
  } else if (maxConnections < engine.slots) {
    const message = `Service "${name}" runs ${engine.slots} requests at once over ${maxConnections} connections; each request takes one`;
    found.push(concern("contradiction", path, message));
  }
  return found;
}

function checkTeams(teams: readonly Team[]): Concern[] {
  const ownerOf = new Map<string, string>();
  return teams.flatMap(({ name, apiKeys }, index) => {
    const path = `/teams/${index}`;
    const found: Concern[] = [];
    if (apiKeys.length === 0) {
      const message = `Team "${name}" is never recognised: it has no API key`;
      found.push(concern("never-matches", path, message));
    }
    for (const key of apiKeys) {
      const owner = ownerOf.get(key) ?? name;
      ownerOf.set(key, owner);
      if (owner === name) continue;
      const message = `An API key of team "${name}" is also one of team "${owner}"`;
      found.push(concern("error", path, message));
    }
    return found;
  });
}

function checkLimits({ limits }: FleetConfiguration): Concern[] {
  const found: Concern[] = [];
  const add = (message: string) =>
    found.push(concern("contradiction", "/limits", message));
  if (limits.headerBytes === 0)
    add("No request can be served: its headers may take 0 bytes");
  if (limits.headerTimeoutMs === 0)
    add("No request can be served: its headers may take 0 ms");
  return found;
}
