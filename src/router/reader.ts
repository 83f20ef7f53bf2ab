/** Reads requests off HTTP and applies the rules. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import {
  type ActiveConfiguration,
  decide,
  type RequestFacts,
  type Service,
  type Team,
  type Then,
  type Treatment,
  versionedName,
} from "../configuration/mod.ts";
import type { Header } from "../protocol/mod.ts";
import type { CallerRequest } from "./caller_request.ts";
import { badRequest, type Failure, notRun } from "./failure.ts";
import { type RequestOptions, readOptions } from "./request_options.ts";

/** What the reader needs of its router. */
export interface ReaderParts {
  readonly clock: Clock;
  readonly active: ActiveConfiguration;
  readonly availabilityZone: string;
}

/** A request that the rules admit; its entry names it. */
export type Admitted = Omit<CallerRequest, "id" | "number">;

/** Where a request is addressed. */
export interface Address {
  readonly service: string;
  /** Path and query at the backend server. */
  readonly path: string;
}

/** Turns HTTP requests into requests of the fleet. */
export class Reader {
  readonly #parts: ReaderParts;

  constructor(parts: ReaderParts) {
    this.#parts = parts;
  }

  /** Returns the team of a request by its key. */
  authenticate(request: IncomingMessage): Result<Team, Failure> {
    const { active } = this.#parts;
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

  /** Returns the request that the rules admit, or its failure. */
  admit(
    request: IncomingMessage,
    { team, body }: { readonly team: Team; readonly body: Buffer },
    address: Address,
  ): Result<Admitted, Failure> {
    const options = readOptions(request);
    if (options.isErr()) return err(options.error);
    const facts = this.#facts(
      request,
      { team, options: options.value },
      address,
    );
    const rule = decide(this.#parts.active.rules, facts);
    const then = rule?.then ?? { type: "admit" as const };
    switch (then.type) {
      case "refuse":
        return err(refusedByRule(then));
      case "send":
      case "admit": {
        const service =
          then.type === "send"
            ? this.#chosen(then)
            : this.service(address.service);
        return service.andThen((found) =>
          this.#create(
            request,
            { team, body, facts },
            {
              service: found,
              path: address.path,
              treatment: then,
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
    const service = this.#parts.active.service(name);
    if (service !== null) return ok(service);
    const sentence = `Service "${name}" is not known`;
    return err(badRequest(404, "unknown-service", { sentence }));
  }

  #chosen({
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
    { service, path }: Address,
  ): RequestFacts {
    const at = new Date(this.#parts.clock.wallMs());
    return {
      team: team.name,
      service,
      kind: options.kind,
      method: request.method ?? "GET",
      path,
      headers: request.headers as Record<string, string | undefined>,
      costHint: options.costHint,
      availabilityZone: this.#parts.availabilityZone,
      minuteOfDay: at.getUTCHours() * 60 + at.getUTCMinutes(),
    };
  }

  #create(
    request: IncomingMessage,
    { team, body, facts }: { team: Team; body: Buffer; facts: RequestFacts },
    chosen: {
      service: Service;
      path: string;
      treatment: Treatment;
      options: RequestOptions;
    },
  ): Result<Admitted, Failure> {
    const { clock, active } = this.#parts;
    const { service, treatment, options } = chosen;
    const contract = active.contract(team.name);
    if (contract === null) {
      const sentence = `Team "${team.name}" has no contract`;
      return err(badRequest(403, "no-contract", { sentence }));
    }
    const limitMs = treatment.deadlineMs ?? service.deadlineMs;
    const deadlineMs = Math.min(options.deadlineMs ?? limitMs, limitMs);
    return ok({
      team: team.name,
      service,
      kind: facts.kind,
      method: facts.method,
      path: chosen.path,
      headers: toHeaders(request),
      body,
      idempotent: isIdempotent(service, treatment, options),
      idempotencyKey: options.idempotencyKey,
      costHint: options.costHint,
      priority: treatment.priority ?? 0,
      maxWaiting: treatment.maxWaitingPerRouter ?? contract.maxWaitingPerRouter,
      maxInProgress:
        treatment.maxInProgressPerRouter ?? contract.maxInProgressPerRouter,
      deadline: new Deadline(clock, deadlineMs),
      arrivedMs: clock.monotonicMs(),
    });
  }
}

function refusedByRule({
  status,
  reason: sentence,
  retryAfterSeconds,
}: Extract<Then, { readonly type: "refuse" }>): Failure {
  if (retryAfterSeconds === undefined) {
    return badRequest(status, "refused-by-rule", { sentence });
  }
  const retryAfterMs = retryAfterSeconds * 1_000;
  return notRun(status, "refused-by-rule", { sentence, retryAfterMs });
}

/** The safer word wins: one "no" makes a request non-idempotent. */
function isIdempotent(
  service: Service,
  treatment: Treatment,
  options: RequestOptions,
): boolean {
  const words = [options.idempotent, treatment.idempotent ?? null];
  if (words.includes(false)) return false;
  if (words.includes(true)) return true;
  if (options.idempotencyKey !== "") return false;
  return service.idempotent;
}

function toHeaders(request: IncomingMessage): Header[] {
  return Object.entries(request.headers).flatMap(([name, value]) => {
    if (value === undefined || name.startsWith("oriole-")) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((one): Header => [name, one]);
  });
}
