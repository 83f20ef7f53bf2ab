/** JSON schemas of the operators' document and of its chunks. */

import { Schema } from "../common/schema.ts";
import type { Document, DocumentSections, Team } from "./document.ts";

const name = { type: "string", pattern: "^[a-z0-9][a-z0-9._-]{0,62}$" };
const names = { type: "array", items: name, minItems: 1, uniqueItems: true };
const text = { type: "string", minLength: 1, maxLength: 1000 };
const texts = { type: "array", items: text, minItems: 1, uniqueItems: true };
const positiveNumber = { type: "number", exclusiveMinimum: 0 };
const nonNegative = { type: "number", minimum: 0 };
const positiveInteger = { type: "integer", minimum: 1 };
const flag = { type: "boolean" };
const clockTime = {
  type: "string",
  pattern: "^([01][0-9]|2[0-3]):[0-5][0-9]$",
};

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
    deadlineMs: positiveInteger,
  },
  { versions: names },
);

const meter = union([
  object({
    type: { const: "tokens" },
    promptWeight: nonNegative,
    generatedWeight: positiveNumber,
  }),
  object({
    type: { const: "completed" },
    defaultWeight: positiveNumber,
    weightByKind: { type: "object", additionalProperties: positiveNumber },
  }),
]);

const contract = object({
  name,
  weight: positiveNumber,
  meter,
  maxWaitingPerRouter: positiveInteger,
  maxInProgressPerRouter: positiveInteger,
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
    costHintAtLeast: nonNegative,
    timeOfDay: object({ from: clockTime, to: clockTime }),
    availabilityZone: texts,
  },
);

const requestOverrides = {
  priority: { type: "integer", minimum: -100, maximum: 100 },
  deadlineMs: positiveInteger,
  idempotent: flag,
  maxWaitingPerRouter: positiveInteger,
  maxInProgressPerRouter: positiveInteger,
};

const then = union([
  object({ type: { const: "admit" } }, requestOverrides),
  object(
    { type: { const: "send" }, service: name },
    { ...requestOverrides, version: name },
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
    limitMs: positiveNumber,
    objective: { type: "number", exclusiveMinimum: 0, exclusiveMaximum: 1 },
  },
  { team: name },
);

const sections = {
  services: list(service),
  contracts: list(contract),
  rules: list(object({ name: text, when, then })),
  targets: list(target),
};

/** Schema of a document; references between its sections aren't checked. */
export const documentSchema = new Schema<Document>(
  object({ ...sections, teams: list(team) }),
);

/** Schema of a document without its teams: the first chunk. */
export const sectionsSchema = new Schema<DocumentSections>(object(sections));

/** Schema of a chunk of teams. */
export const teamsSchema = new Schema<Team[]>(list(team));
