/** Explains what a router would do with a request. */

import type { BackendServer } from "../directory/mod.ts";
import type { Route, RouteTable } from "../routing/mod.ts";
import { ownersOf, type PromptPart } from "../scheduling/mod.ts";

/** A request that an operator asks about. */
export interface RequestDescription {
  readonly host: string;
  readonly path: string;
  readonly apiKey: string | null;
  /** Parts of its prompt; empty for a request without one. */
  readonly parts: readonly PromptPart[];
}

/** Returns the decisions in order, one line each. */
export function explain(
  table: RouteTable,
  request: RequestDescription,
  servers: readonly BackendServer[],
): string[] {
  const route = table.find(request.host, request.path);
  if (route === null) {
    const sentence = `no route has a prefix of "${request.path}"`;
    return [`Version ${table.version}: ${sentence} at "${request.host}": 404`];
  }
  return [
    `Version ${table.version}: route "${route.name}" has the longest prefix, ` +
      `"${route.pathPrefix}"`,
    teamLine(table, route, request),
    limitsLine(route),
    ...regionsLines(table, route, request),
    ...route.destinations.flatMap(({ service, weight }) => [
      `Service "${service}" gets ${shareOf(route, weight)} of its requests`,
      ...serverSelectionLines(table, service, { request, servers }),
    ]),
  ];
}

function teamLine(
  table: RouteTable,
  { requiresKey }: Route,
  { apiKey }: RequestDescription,
): string {
  const team = apiKey === null ? null : table.teamOf(apiKey);
  if (team !== null) return `The key belongs to team "${team}"`;
  if (!requiresKey) return "The route needs no key";
  const keyState = apiKey === null ? "No key is shown" : "No team has the key";
  return `${keyState}, and the route needs one: 401`;
}

function limitsLine({
  repetition,
  maxAttempts,
  timeoutMs,
  objectiveMs,
}: Route): string {
  const attempts =
    repetition === "non-idempotent"
      ? "It may run once"
      : `It is ${repetition}: up to ${maxAttempts} servers`;
  return `${attempts}, ${objectiveMs} ms to be on time, ${timeoutMs} ms in all`;
}

function regionsLines(
  table: RouteTable,
  route: Route,
  { apiKey }: RequestDescription,
): string[] {
  const team = apiKey === null ? null : table.teamOf(apiKey);
  const regions = table.regionsOf(route, team);
  if (regions === null) return [];
  const names = regions.length === 0 ? "no region" : regions.join(", ");
  return [`It may be served in: ${names}`];
}

function shareOf({ destinations }: Route, weight: number): string {
  const total = destinations.reduce((sum, one) => sum + one.weight, 0);
  return `${Math.round((weight / total) * 100)}%`;
}

function serverSelectionLines(
  table: RouteTable,
  service: string,
  context: {
    readonly request: RequestDescription;
    readonly servers: readonly BackendServer[];
  },
): string[] {
  const { request } = context;
  const servers = context.servers.filter((one) => one.service === service);
  const ready = servers.filter(({ state }) => state === "ready");
  const draining = servers.length - ready.length;
  const lines = [
    `  ${ready.length} ready, ${draining} draining: ` +
      (ready.length === 0 ? "503 until one is ready" : "one of these"),
  ];
  if (table.service(service)?.engine && request.parts.length > 1) {
    const owners = ownersOf(
      request.parts,
      ready.map(({ id }) => ({ id, demand: null })),
    ).map(({ id }) => id);
    return [
      ...lines,
      `  Its head is kept by ${owners.join(" and ")}: the one that is done sooner`,
    ];
  }
  return [...lines, "  The one with the least to do, the nearest at a tie"];
}
