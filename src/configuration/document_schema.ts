/** Schema of the operators' document. */

import { Schema } from "../common/schema.ts";
import type { Document, DocumentHead, Team } from "./document.ts";

const name = { type: "string", pattern: "^[a-z0-9][a-z0-9._-]{0,62}$" };
const names = { type: "array", items: name, minItems: 1, uniqueItems: true };
const text = { type: "string", minLength: 1, maxLength: 1000 };
const texts = { type: "array", items: text, minItems: 1, uniqueItems: true };
const positive = { type: "number", exclusiveMinimum: 0 };
const amount = { type: "number", minimum: 0 };
const bound = { type: "integer", minimum: 1 };
const flag = { type: "boolean" };
const hour = { type: "string", pattern: "^([01][0-9]|2[0-3]):[0-5][0-9]$" };

function object(
  required: Record<string, object>,
  optional: Record<string, object> = {},
): object {
  return {
    type: "object",
    required: Object.keys(required),
    additionalProperties: false,
    properties: { ...required, ...optional },
  };
}

function union(variants: readonly object[]): object {
  return {
    type: "object",
    required: ["type"],
    discriminator: { propertyName: "type" },
    oneOf: variants,
  };
}

function list(items: object): object {
  return { type: "array", items };
}

const service = object(
  {
    name,
    type: { enum: ["model", "plain"] },
    idempotent: flag,
    maxBodyBytes: { type: "integer", minimum: 1, maximum: 8 * 1024 * 1024 },
    deadlineMs: bound,
  },
  { versions: names },
);

const meter = union([
  object({
    type: { const: "tokens" },
    promptWeight: amount,
    generatedWeight: positive,
  }),
  object({
    type: { const: "completed" },
    defaultWeight: positive,
    weightByKind: { type: "object", additionalProperties: positive },
  }),
]);

const contract = object({
  name,
  weight: positive,
  meter,
  maxWaitingPerRouter: bound,
  maxInProgressPerRouter: bound,
});

const team = object({
  name,
  keyHash: { type: "string", pattern: "^[0-9a-f]{64}$" },
  contract: name,
});

const when = object(
  {},
  {
    team: names,
    service: names,
    kind: texts,
    method: texts,
    pathPrefix: text,
    header: object({ name: text, value: text }),
    costHintAtLeast: amount,
    timeOfDay: object({ from: hour, to: hour }),
    availabilityZone: texts,
  },
);

const treatment = {
  priority: { type: "integer", minimum: -100, maximum: 100 },
  deadlineMs: bound,
  idempotent: flag,
  maxWaitingPerRouter: bound,
  maxInProgressPerRouter: bound,
};

const then = union([
  object({ type: { const: "admit" } }, treatment),
  object(
    { type: { const: "send" }, service: name },
    { ...treatment, version: name },
  ),
  object(
    {
      type: { const: "refuse" },
      status: { type: "integer", minimum: 400, maximum: 599 },
      reason: text,
    },
    { retryAfterSeconds: { type: "integer", minimum: 1 } },
  ),
]);

const target = object(
  {
    service: name,
    measure: { enum: ["first-token", "between-tokens", "completion"] },
    limitMs: positive,
    objective: { type: "number", exclusiveMinimum: 0, exclusiveMaximum: 1 },
  },
  { team: name },
);

const head = {
  services: list(service),
  contracts: list(contract),
  rules: list(object({ name: text, when, then })),
  targets: list(target),
};

/** Checks the shape of a document, not its meaning. */
export const documentSchema = new Schema<Document>(
  object({ ...head, teams: list(team) }),
);

/** Checks the shape of a document without its teams. */
export const headSchema = new Schema<DocumentHead>(object(head));

/** Checks the shape of a group of teams. */
export const teamsSchema = new Schema<Team[]>(list(team));
