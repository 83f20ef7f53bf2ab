/** Reads a caller's request and admits it to a route, or rejects it. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { badRequest, type Failure, notRun } from "../router/failure.ts";
import type { Upload } from "../router/upload.ts";
import {
  destinationOf,
  type Route,
  type RouteTable,
  type ZoneRegions,
} from "../routing/mod.ts";
import { costOf, SHORT_RETRY_AFTER_MS } from "../scheduling/mod.ts";
import type { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import type { Dialect, RequestTerms } from "./dialect.ts";

/** Dependencies of `admit`. */
export interface AdmitDependencies {
  readonly configuration: ConfigurationState;
  readonly dialect: Dialect;
  readonly callerWaits: CallerWaitEstimator;
  readonly zoneRegions: ZoneRegions;
}

/** Fields of the request's log line, filled in as they become known. */
export interface RequestLogFields {
  id: string;
  team: string | null;
  route: string | null;
  /** Cost in prompt tokens. */
  tokens: number;
  /**
   * Time from the arrival to the deadline, in ms: the caller's or the route's
   * limit, whichever is shorter; null until the request is admitted.
   */
  allowedMs: number | null;
  /** Request whose stream it takes up; null for none. */
  resumes: string | null;
}

/** Context of one `admit` call. */
export interface AdmitOptions {
  /** Monotonic time at which the request arrived. */
  readonly arrivedMs: number;
  /** Updated by `admit`. */
  readonly logFields: RequestLogFields;
  /** The request's body; its owner closes it. */
  readonly upload: Upload;
}

/** A request that has passed all checks and can be scheduled. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  readonly team: string | null;
  /** Availability zones in which it may be served; null for any. */
  readonly zones: ReadonlySet<string> | null;
  readonly terms: RequestTerms;
  readonly body: Buffer;
  /** Monotonic time by which a response meets the route's latency objective. */
  readonly objectiveAtMs: number;
  /** Monotonic time of its arrival. */
  readonly arrivedMs: number;
  /** Monotonic time at which the caller or the route gives up. */
  readonly deadlineAtMs: number;
}

/** Reads the whole request; returns the failure to send if it is rejected. */
export async function admit(
  deps: AdmitDependencies,
  request: IncomingMessage,
  options: AdmitOptions,
): Promise<Result<AdmittedRequest, Failure>> {
  const checked = await check(deps, request, options);
  return checked.mapErr((failure) => rejectionOf(deps.configuration, failure));
}

async function check(
  deps: AdmitDependencies,
  request: IncomingMessage,
  options: AdmitOptions,
): Promise<Result<AdmittedRequest, Failure>> {
  const { dialect, configuration } = deps;
  const terms = dialect.readRequest(request.headers);
  if (terms.isErr()) {
    return err(badRequest(400, "bad-header", { sentence: terms.error }));
  }
  options.logFields.id = terms.value.id ?? "";
  options.logFields.tokens = costOf(terms.value);
  options.logFields.resumes = terms.value.resumes;
  const { table } = configuration;
  if (table === null) return err(unavailableHere("no-configuration"));
  const { headerBytes: limitBytes, bodyBytes } = table.limits;
  if (headerBytesOf(request.rawHeaders) > limitBytes) {
    const sentence = `Request headers exceed the limit of ${limitBytes} bytes`;
    return err(badRequest(431, "headers-too-long", { sentence }));
  }
  // The body of a request that is rejected anyway isn't kept.
  const earlyRoute = routeOf(table, request);
  if (earlyRoute.isErr()) return err(earlyRoute.error);
  options.logFields.route = earlyRoute.value.name;
  const team = teamOf(table, earlyRoute.value, terms.value);
  if (team.isErr()) return err(team.error);
  const group = team.value ?? request.socket.remoteAddress ?? "";
  const body = await options.upload.read({ limitBytes: bodyBytes, group });
  if (body.isErr()) return err(body.error);
  // Reading the body may take long: use the configuration in force now.
  const read = { terms: terms.value, body: body.value };
  const route = routeOf(configuration.table ?? table, request);
  if (route.isErr()) return err(route.error);
  options.logFields.route = route.value.name;
  return authorize(deps, route.value, { ...read, ...options });
}

/**
 * Monotonic time at which a request's deadline passes. A newer configuration may
 * allow its route more time than the one under which it was admitted; one that
 * allows less applies to new requests only.
 */
export function currentDeadlineAtMs(
  { table }: ConfigurationState,
  request: IncomingMessage,
  { deadlineAtMs, terms, arrivedMs }: AdmittedRequest,
): number {
  const route = table === null ? null : findRoute(table, request);
  if (route === null) return deadlineAtMs;
  const waitMs = Math.min(terms.waitMs ?? route.timeoutMs, route.timeoutMs);
  return Math.max(deadlineAtMs, arrivedMs + waitMs);
}

/** Failure of a request that was not run; another router may serve it. */
export function unavailableHere(code: string): Failure {
  const sentence =
    "This router can't serve the request now; try another router";
  return notRun(503, code, { sentence, retryAfterMs: SHORT_RETRY_AFTER_MS });
}

/**
 * Returns how to reject a request that failed a check: for good, or to another
 * router if a newer configuration that allows the request may be in force.
 */
function rejectionOf(
  { permitsRefusal }: ConfigurationState,
  failure: Failure,
): Failure {
  const isMalformed = failure.status === 400;
  const isFinal = failure.retryAfterMs === null;
  if (permitsRefusal || isMalformed || !isFinal) return failure;
  return unavailableHere("configuration-too-old");
}

/** Returns the route that a request's host and path select; null for none. */
export function findRoute(
  table: RouteTable,
  { url = "/", headers }: IncomingMessage,
): Route | null {
  return table.find(headers.host ?? "", pathOf(url));
}

function pathOf(url: string): string {
  const [path = "/"] = url.split("?");
  return path;
}

function routeOf(
  table: RouteTable,
  request: IncomingMessage,
): Result<Route, Failure> {
  const route = findRoute(table, request);
  if (route !== null) return ok(route);
  const host = request.headers.host ?? "";
  const path = pathOf(request.url ?? "/");
  const sentence = `No route matches path "${path}" of host "${host}"`;
  return err(badRequest(404, "unknown-route", { sentence }));
}

function authorize(
  { configuration, callerWaits, zoneRegions }: AdmitDependencies,
  route: Route,
  read: AdmitOptions & { readonly terms: RequestTerms; readonly body: Buffer },
): Result<AdmittedRequest, Failure> {
  const { terms, body, arrivedMs, logFields } = read;
  const team = teamOf(configuration.table, route, terms);
  if (team.isErr()) return err(team.error);
  if (route.requiresKey && !configuration.keysAreFresh) {
    return err(unavailableHere("keys-too-old"));
  }
  logFields.team = team.value;
  const regions = configuration.table?.regionsOf(route, team.value) ?? null;
  const destination = destinationOf(route, Math.random());
  if (destination === null)
    return err(unavailableHere("route-without-service"));
  const waitMs = Math.min(terms.waitMs ?? route.timeoutMs, route.timeoutMs);
  logFields.allowedMs = waitMs;
  const elapsedMs =
    terms.waitMs === null ? 0 : callerWaits.elapsedMs(route.name, terms.waitMs);
  return ok({
    ...{ route, terms, body, team: team.value, arrivedMs },
    service: destination.service,
    zones: zoneRegions.zonesIn(regions),
    objectiveAtMs: arrivedMs - elapsedMs + route.objectiveMs,
    deadlineAtMs: arrivedMs + waitMs,
  });
}

function teamOf(
  table: RouteTable | null,
  route: Route,
  { apiKey }: RequestTerms,
): Result<string | null, Failure> {
  const team = apiKey === null ? null : (table?.teamOf(apiKey) ?? null);
  if (team !== null || !route.requiresKey) return ok(team);
  const sentence = "The request has no API key or an unknown one";
  return err(badRequest(401, "unknown-key", { sentence }));
}

/**
 * Size in bytes of a request's headers as they were sent: the names and values,
 * each with a two-byte separator (`: ` or CRLF).
 */
function headerBytesOf(rawHeaders: readonly string[]): number {
  const separators = rawHeaders.length * 2;
  return rawHeaders.reduce((sum, text) => sum + text.length, separators);
}
