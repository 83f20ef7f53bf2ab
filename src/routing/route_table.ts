/** Looks up the route, team and service of a request. */

import type {
  CallerLimits,
  FleetConfiguration,
  Service,
} from "./fleet_configuration.ts";
import type { Destination, Route } from "./route.ts";

/** Index over one version of the configuration. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** Whether any route takes only requests with an API key. */
  readonly requiresKeys: boolean;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #teamsByKey = new Map<string, string>();
  readonly #regionsByTeam = new Map<string, readonly string[]>();
  readonly #services = new Map<string, Service>();

  constructor(configuration: FleetConfiguration) {
    const { version, routes, services, teams, limits } = configuration;
    this.version = version;
    this.limits = limits;
    this.requiresKeys = routes.some(({ requiresKey }) => requiresKey);
    for (const route of routes) {
      const hostRoutes = this.#routesByHost.get(route.host) ?? [];
      this.#routesByHost.set(route.host, [...hostRoutes, route]);
    }
    for (const hostRoutes of this.#routesByHost.values()) {
      // The first match wins, so the longest path prefix comes first.
      hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of services) this.#services.set(service.name, service);
    for (const { name, apiKeys, regions } of teams ?? []) {
      if (regions !== null) this.#regionsByTeam.set(name, regions);
      for (const key of apiKeys) this.#teamsByKey.set(key, name);
    }
  }

  /** Returns the route with the longest matching prefix; null if none does. */
  find(host: string, path: string): Route | null {
    const routes = this.#routesByHost.get(host.toLowerCase()) ?? [];
    return routes.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ?? null;
  }

  /** Returns the team that owns an API key; null if the key is unknown. */
  teamOf(apiKey: string): string | null {
    return this.#teamsByKey.get(apiKey) ?? null;
  }

  /**
   * Regions in which a team's requests on a route may be served: those of both,
   * if both name some; null for any.
   */
  regionsOf(route: Route, team: string | null): readonly string[] | null {
    const ofTeam =
      team === null ? null : (this.#regionsByTeam.get(team) ?? null);
    if (route.regions === null || ofTeam === null)
      return route.regions ?? ofTeam;
    return route.regions.filter((region) => ofTeam.includes(region));
  }

  /** Returns the service of that name; null if it isn't configured. */
  service(name: string): Service | null {
    return this.#services.get(name) ?? null;
  }
}

/**
 * Picks one of a route's destinations by weight; null if it has none.
 *
 * @param draw random number, uniform in [0, 1)
 */
export function destinationOf(route: Route, draw: number): Destination | null {
  const total = route.destinations.reduce((sum, one) => sum + one.weight, 0);
  let left = draw * total;
  for (const destination of route.destinations) {
    left -= destination.weight;
    if (left < 0) return destination;
  }
  return route.destinations.at(-1) ?? null;
}
