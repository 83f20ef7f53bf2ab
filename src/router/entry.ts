/** HTTP entry point for callers, built on moleculer-web. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { ServiceBroker } from "moleculer";
import ApiGateway from "moleculer-web";
import { err, ok, type Result } from "neverthrow";
import { systemClock } from "../common/clock.ts";
import { messageOf } from "../common/error_message.ts";
import { HeldBytes } from "../common/held_bytes.ts";
import { logger } from "../common/log.ts";
import type { Service } from "../configuration/mod.ts";
import { CallerResponse } from "./caller_response.ts";
import { badRequest, type Failure } from "./failure.ts";
import type { RequestDispatcher } from "./request_dispatcher.ts";
import type { RequestReader, RequestTarget } from "./request_reader.ts";
import { Upload } from "./upload.ts";

const log = logger("router");

const CHAT_PATH = "/v1/chat/completions";
const SERVICES_PREFIX = "/services/";
/** Limit for a chat body; the service's own limit is known only once it is read. */
const MAX_CHAT_BODY_BYTES = 8 * 1024 * 1024;
/** Time a caller has to send a request's headers and body. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Memory for bodies: those of 16 chats of the largest size. */
const HELD_LIMIT_BYTES = 16 * MAX_CHAT_BODY_BYTES;

/** Dependencies of the entry point. */
export interface EntryDependencies {
  readonly reader: RequestReader;
  readonly dispatcher: RequestDispatcher;
  /** Incarnation of the router; every request id starts with it. */
  readonly incarnation: string;
}

/** Registers the HTTP entry point with the broker. */
export function createEntry(
  broker: ServiceBroker,
  deps: EntryDependencies,
  { host, port }: { readonly host: string; readonly port: number },
): void {
  let requests = 0;
  const held = new HeldBytes(systemClock, { limitBytes: HELD_LIMIT_BYTES });
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    requests += 1;
    const upload = new Upload(request, held, {
      limitBytes: MAX_CHAT_BODY_BYTES,
      group: request.socket.remoteAddress ?? "",
    });
    const arrived = { request, response, upload };
    const exchange = new Exchange(deps, arrived, requests);
    const end = exchange.run().finally(() => upload.close());
    void end.catch((error) => {
      // An unexpected error must not stop the process and fail the requests of
      // other callers.
      log.error(`Unexpected error in a request: ${(error as Error).stack}`);
      response.destroy();
    });
  };
  broker.createService({
    name: "entry",
    mixins: [ApiGateway],
    settings: {
      ip: host,
      port,
      httpServerTimeout: null,
      routes: [
        {
          path: "/",
          bodyParsers: false,
          mappingPolicy: "restrict",
          aliases: {
            [CHAT_PATH]: handle,
            [`${SERVICES_PREFIX}:name`]: handle,
            [`${SERVICES_PREFIX}:name/:rest*`]: handle,
            "/:rest*": handle,
          },
        },
      ],
    },
    started() {
      const { server } = this as unknown as { server: Server };
      server.requestTimeout = REQUEST_TIMEOUT_MS;
    },
  });
}

interface ArrivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly upload: Upload;
}

interface ParsedRequest {
  readonly target: RequestTarget;
  readonly body: Buffer;
}

/** One HTTP exchange: a request and its response. */
class Exchange {
  readonly #deps: EntryDependencies;
  readonly #request: IncomingMessage;
  readonly #response: CallerResponse;
  readonly #upload: Upload;
  readonly #url: string;
  readonly #id: string;
  readonly #number: number;

  constructor(
    deps: EntryDependencies,
    { request, response, upload }: ArrivedRequest,
    number: number,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#number = number;
    this.#upload = upload;
    this.#id = `${deps.incarnation}-${number}`;
    this.#response = new CallerResponse(response, this.#id);
    this.#url =
      (request as { originalUrl?: string }).originalUrl ?? request.url ?? "/";
  }

  /** Responds to the request; rejects only on an unexpected error. */
  async run(): Promise<void> {
    const { reader, dispatcher } = this.#deps;
    const team = reader.authenticate(this.#request);
    if (team.isErr()) return this.#response.fail(team.error);
    const read = await this.#read(team.value.name);
    if (read.isErr()) return this.#response.fail(read.error);
    const { target, body } = read.value;
    const admitted = reader.admit(
      this.#request,
      { team: team.value, body },
      target,
    );
    if (admitted.isErr()) return this.#response.fail(admitted.error);
    const identified = {
      ...admitted.value,
      id: this.#id,
      number: this.#number,
    };
    await dispatcher.serve(identified, this.#response);
  }

  async #read(group: string): Promise<Result<ParsedRequest, Failure>> {
    const [path] = this.#url.split("?");
    if (this.#url.startsWith(SERVICES_PREFIX))
      return await this.#readPlain(group);
    if (path !== CHAT_PATH) {
      const sentence = `Path "${path}" is not known`;
      return err(badRequest(404, "unknown-path", { sentence }));
    }
    if (this.#request.method !== "POST") {
      const sentence = `Method must be POST for "${path}"`;
      return err(badRequest(405, "bad-method", { sentence }));
    }
    return await this.#readChat(group);
  }

  async #readPlain(group: string): Promise<Result<ParsedRequest, Failure>> {
    const rest = this.#url.slice(SERVICES_PREFIX.length);
    const [, name = "", path = ""] = /^([^/?]*)(.*)$/.exec(rest) ?? [];
    const service = this.#deps.reader
      .service(decodeServiceName(name))
      .andThen((found) => requireType(found, "plain"));
    if (service.isErr()) return err(service.error);
    const limitBytes = service.value.maxBodyBytes;
    const body = await this.#upload.read({ limitBytes, group });
    const target = {
      service: service.value.name,
      path: path.startsWith("/") ? path : `/${path}`,
    };
    return body.map((body) => ({ target, body }));
  }

  async #readChat(group: string): Promise<Result<ParsedRequest, Failure>> {
    const { reader } = this.#deps;
    const limitBytes = MAX_CHAT_BODY_BYTES;
    const body = await this.#upload.read({ limitBytes, group });
    if (body.isErr()) return err(body.error);
    const model = readModel(body.value);
    if (model.isErr()) return err(model.error);
    const service = reader
      .service(model.value)
      .andThen((found) => requireType(found, "model"));
    if (service.isErr()) return err(service.error);
    const { name, maxBodyBytes } = service.value;
    if (body.value.length > maxBodyBytes) {
      const sentence = `Body is longer than ${maxBodyBytes} bytes`;
      return err(badRequest(413, "body-too-long", { sentence }));
    }
    const target = { service: name, path: CHAT_PATH };
    return ok({ target, body: body.value });
  }
}

function readModel(body: Buffer): Result<string, Failure> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (error) {
    const sentence = `Body is not JSON: ${messageOf(error)}`;
    return err(badRequest(400, "bad-json", { sentence }));
  }
  const { model, messages } = (value ?? {}) as Record<string, unknown>;
  const invalidField = (field: string, rule: string) => {
    const sentence = `Field "${field}" must be ${rule}`;
    return err(badRequest(400, "bad-field", { sentence }));
  };
  if (typeof model !== "string")
    return invalidField("model", "the name of a service");
  if (!Array.isArray(messages)) return invalidField("messages", "a list");
  return ok(model);
}

function requireType(
  service: Service,
  type: Service["type"],
): Result<Service, Failure> {
  if (service.type === type) return ok(service);
  const sentence = `Service "${service.name}" is not a ${type} service`;
  return err(badRequest(404, "unknown-service", { sentence }));
}

function decodeServiceName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
