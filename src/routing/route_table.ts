/** Finds the route and the team of a request. */

import type {
  CallerLimits,
  FleetConfiguration,
  Service,
} from "./fleet_configuration.ts";
import type { Destination, Route } from "./route.ts";

/** One version of the configuration, indexed. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #teamsByKey = new Map<string, string>();
  readonly #services = new Map<string, Service>();

  constructor(configuration: FleetConfiguration) {
    const { version, routes, services, teams, limits } = configuration;
    this.version = version;
    this.limits = limits;
    for (const route of routes) {
      const rules = this.#routesByHost.get(route.host) ?? [];
      this.#routesByHost.set(route.host, [...rules, route]);
    }
    for (const rules of this.#routesByHost.values()) {
      // The first match decides, so the most specific rule stands first.
      rules.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of services) this.#services.set(service.name, service);
    for (const { name, apiKeys } of teams ?? []) {
      for (const key of apiKeys) this.#teamsByKey.set(key, name);
    }
  }

  /** Returns the first rule that matches; null when there is none. */
  find(host: string, path: string): Route | null {
    const rules = this.#routesByHost.get(host.toLowerCase()) ?? [];
    return rules.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ?? null;
  }

  /** Returns the team that holds a key; null for an unknown key. */
  teamOf(apiKey: string): string | null {
    return this.#teamsByKey.get(apiKey) ?? null;
  }

  /** Returns a service; null when the configuration has none of the name. */
  service(name: string): Service | null {
    return this.#services.get(name) ?? null;
  }
}

/**
 * Draws one of a route's destinations.
 *
 * @param draw uniform in [0, 1)
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
