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
  type Treatment,
  versionedName,
} from "../configuration/mod.ts";
import type { Header } from "../protocol/mod.ts";
import type { CallerRequest } from "./caller_request.ts";
import { badRequest, type Failure, notRun } from "./failure.ts";

const KEY_LENGTH_LIMIT = 255;
const KIND_LENGTH_LIMIT = 64;
const DEFAULT_KIND = "default";

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

interface Options {
  readonly kind: string;
  readonly idempotent: boolean | null;
  readonly idempotencyKey: string;
  readonly deadlineMs: number | null;
  readonly costHint: number;
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
      case "refuse": {
        const { status, reason: sentence, retryAfterSeconds } = then;
        if (retryAfterSeconds === undefined) {
          return err(badRequest(status, "refused-by-rule", { sentence }));
        }
        const retryAfterMs = retryAfterSeconds * 1_000;
        const detail = { sentence, retryAfterMs };
        return err(notRun(status, "refused-by-rule", detail));
      }
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
    { team, options }: { readonly team: Team; readonly options: Options },
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
      options: Options;
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

/** The safer word wins: one "no" makes a request non-idempotent. */
function isIdempotent(
  service: Service,
  treatment: Treatment,
  options: Options,
): boolean {
  const words = [options.idempotent, treatment.idempotent ?? null];
  if (words.includes(false)) return false;
  if (words.includes(true)) return true;
  if (options.idempotencyKey !== "") return false;
  return service.idempotent;
}

function readOptions(request: IncomingMessage): Result<Options, Failure> {
  const header = (name: string) => {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
  };
  const bad = (name: string, rule: string) => {
    const sentence = `Header ${name} must be ${rule}`;
    return err(badRequest(400, "bad-header", { sentence }));
  };
  const word = header("oriole-idempotent");
  if (word !== undefined && word !== "true" && word !== "false") {
    return bad("Oriole-Idempotent", "true or false");
  }
  const deadline = header("oriole-deadline-ms");
  if (deadline !== undefined && !/^[1-9]\d{0,8}$/.test(deadline)) {
    return bad("Oriole-Deadline-Ms", "a whole number of milliseconds above 0");
  }
  const hint = header("oriole-cost-hint") ?? "0";
  if (!/^\d{1,9}(\.\d{1,6})?$/.test(hint)) {
    return bad("Oriole-Cost-Hint", "a number of cost units");
  }
  const idempotencyKey = header("idempotency-key") ?? "";
  if (idempotencyKey.length > KEY_LENGTH_LIMIT) {
    return bad("Idempotency-Key", `at most ${KEY_LENGTH_LIMIT} characters`);
  }
  const kind = header("oriole-kind") ?? DEFAULT_KIND;
  if (kind === "" || kind.length > KIND_LENGTH_LIMIT) {
    return bad("Oriole-Kind", `1 to ${KIND_LENGTH_LIMIT} characters`);
  }
  return ok({
    kind,
    idempotent: word === undefined ? null : word === "true",
    idempotencyKey,
    deadlineMs: deadline === undefined ? null : Number(deadline),
    costHint: Number(hint),
  });
}

function toHeaders(request: IncomingMessage): Header[] {
  return Object.entries(request.headers).flatMap(([name, value]) => {
    if (value === undefined || name.startsWith("oriole-")) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((one): Header => [name, one]);
  });
}

/** Reads a body of at most `limitBytes`. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  const tooLong = () => {
    const sentence = `Body is longer than ${limitBytes} bytes`;
    return err(badRequest(413, "body-too-long", { sentence }));
  };
  if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
    return tooLong();
  }
  const pieces: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const piece of request as AsyncIterable<Buffer>) {
      sizeBytes += piece.length;
      if (sizeBytes > limitBytes) return tooLong();
      pieces.push(piece);
    }
  } catch {
    const sentence = "The caller went away before its body was whole";
    return err(badRequest(400, "body-cut-off", { sentence }));
  }
  return ok(Buffer.concat(pieces));
}
