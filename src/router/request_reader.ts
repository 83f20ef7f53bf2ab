/** Authenticates callers' HTTP requests and applies the operators' rules. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import {
  type ActiveConfiguration,
  findMatchingRule,
  type RequestFacts,
  type RequestOverrides,
  type RuleAction,
  type Service,
  type Team,
  versionedName,
} from "../configuration/mod.ts";
import type { Header } from "../protocol/mod.ts";
import type { CallerRequest } from "./caller_request.ts";
import { badRequest, type Failure, notRun } from "./failure.ts";
import { type RequestOptions, readOptions } from "./request_options.ts";

/** Dependencies of the request reader. */
export interface RequestReaderDependencies {
  readonly clock: Clock;
  readonly configuration: ActiveConfiguration;
  readonly availabilityZone: string;
}

/** A request that the rules admit; the entry point adds its id and number. */
export type AdmittedRequest = Omit<CallerRequest, "id" | "number">;

/** The service and path that a request is addressed to. */
export interface RequestTarget {
  readonly service: string;
  /** Path and query at the backend server. */
  readonly path: string;
}

/** Turns HTTP requests into requests that the dispatcher can serve. */
export class RequestReader {
  readonly #deps: RequestReaderDependencies;

  constructor(deps: RequestReaderDependencies) {
    this.#deps = deps;
  }

  /** Returns the team whose key the request carries. */
  authenticate(request: IncomingMessage): Result<Team, Failure> {
    const { configuration: active } = this.#deps;
    if (active.version === 0) {
      const sentence = "This router has no configuration yet";
      const retryAfterMs = 1_000;
      return err(notRun(503, "starting", { sentence, retryAfterMs }));
    }
    const [, key] =
      /^Bearer (.+)$/.exec(request.headers.authorization ?? "") ?? [];
    const team = key === undefined ? null : active.authenticate(key);
    if (team !== null) return ok(team);
    const sentence = "Header Authorization holds no valid team key";
    return err(badRequest(401, "unauthorized", { sentence }));
  }

  /** Applies the rules; returns the admitted request or why it is refused. */
  admit(
    request: IncomingMessage,
    { team, body }: { readonly team: Team; readonly body: Buffer },
    target: RequestTarget,
  ): Result<AdmittedRequest, Failure> {
    const options = readOptions(request);
    if (options.isErr()) return err(options.error);
    const facts = this.#facts(
      request,
      { team, options: options.value },
      target,
    );
    const rule = findMatchingRule(this.#deps.configuration.rules, facts);
    const then = rule?.then ?? { type: "admit" as const };
    switch (then.type) {
      case "refuse":
        return err(refusedByRule(then));
      case "send":
      case "admit": {
        const service =
          then.type === "send"
            ? this.#resolveService(then)
            : this.service(target.service);
        return service.andThen((found) =>
          this.#create(
            request,
            { team, body, facts },
            {
              service: found,
              path: target.path,
              overrides: then,
              options: options.value,
            },
          ),
        );
      }
      default:
        return then satisfies never;
    }
  }

  /** Returns a service by name. */
  service(name: string): Result<Service, Failure> {
    const service = this.#deps.configuration.service(name);
    if (service !== null) return ok(service);
    const sentence = `Service "${name}" is not known`;
    return err(badRequest(404, "unknown-service", { sentence }));
  }

  #resolveService({
    service,
    version,
  }: {
    readonly service: string;
    readonly version?: string;
  }): Result<Service, Failure> {
    return this.service(service).map((found) =>
      version === undefined
        ? found
        : { ...found, name: versionedName(service, version) },
    );
  }

  #facts(
    request: IncomingMessage,
    {
      team,
      options,
    }: { readonly team: Team; readonly options: RequestOptions },
    { service, path }: RequestTarget,
  ): RequestFacts {
    const now = new Date(this.#deps.clock.wallMs());
    return {
      team: team.name,
      service,
      kind: options.kind,
      method: request.method ?? "GET",
      path,
      headers: request.headers as Record<string, string | undefined>,
      costHint: options.costHint,
      availabilityZone: this.#deps.availabilityZone,
      minuteOfDay: now.getUTCHours() * 60 + now.getUTCMinutes(),
    };
  }

  #create(
    request: IncomingMessage,
    { team, body, facts }: { team: Team; body: Buffer; facts: RequestFacts },
    route: {
      service: Service;
      path: string;
      overrides: RequestOverrides;
      options: RequestOptions;
    },
  ): Result<AdmittedRequest, Failure> {
    const { clock, configuration: active } = this.#deps;
    const { service, overrides, options } = route;
    const contract = active.contract(team.name);
    if (contract === null) {
      const sentence = `Team "${team.name}" has no contract`;
      return err(badRequest(403, "no-contract", { sentence }));
    }
    const limitMs = overrides.deadlineMs ?? service.deadlineMs;
    const deadlineMs = Math.min(options.deadlineMs ?? limitMs, limitMs);
    return ok({
      team: team.name,
      service,
      kind: facts.kind,
      method: facts.method,
      path: route.path,
      headers: forwardedHeaders(request),
      body,
      idempotent: isIdempotent(service, overrides, options),
      idempotencyKey: options.idempotencyKey,
      costHint: options.costHint,
      priority: overrides.priority ?? 0,
      maxWaiting: overrides.maxWaitingPerRouter ?? contract.maxWaitingPerRouter,
      maxInProgress:
        overrides.maxInProgressPerRouter ?? contract.maxInProgressPerRouter,
      deadline: new Deadline(clock, deadlineMs),
      arrivedMs: clock.monotonicMs(),
    });
  }
}

function refusedByRule({
  status,
  reason: sentence,
  retryAfterSeconds,
}: Extract<RuleAction, { readonly type: "refuse" }>): Failure {
  if (retryAfterSeconds === undefined) {
    return badRequest(status, "refused-by-rule", { sentence });
  }
  const retryAfterMs = retryAfterSeconds * 1_000;
  return notRun(status, "refused-by-rule", { sentence, retryAfterMs });
}

/**
 * Returns whether a request may run more than once. The safer choice wins: a
 * "no" of the caller or of a rule overrides a "yes" of the other. Without
 * either, a request with an idempotency key is not idempotent, and for others
 * the service decides.
 */
function isIdempotent(
  service: Service,
  overrides: RequestOverrides,
  options: RequestOptions,
): boolean {
  const choices = [options.idempotent, overrides.idempotent ?? null];
  if (choices.includes(false)) return false;
  if (choices.includes(true)) return true;
  if (options.idempotencyKey !== "") return false;
  return service.idempotent;
}

function forwardedHeaders(request: IncomingMessage): Header[] {
  return Object.entries(request.headers).flatMap(([name, value]) => {
    if (value === undefined || name.startsWith("oriole-")) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((one): Header => [name, one]);
  });
}
