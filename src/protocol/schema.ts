/** Schemas by which received messages are validated. */

import { err, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import { Schema } from "../common/schema.ts";
import { MAX_EVACUATED_ZONES, MAX_PACKED_PARTS } from "./admission_messages.ts";
import type { Message } from "./message.ts";

const text = { type: "string", maxLength: 4096 };
const count = { type: "integer", minimum: 0 };
const amount = { type: "number", minimum: 0 };
const optionalAmount = { type: ["number", "null"], minimum: 0 };
const flag = { type: "boolean" };
const bytes = { bytes: true };
const header = tuple(text, text);
const headers = { type: "array", maxItems: 200, items: header };
/** Fields that are absent where a message has nothing to say in them. */
const OPTIONAL_FIELDS: ReadonlySet<string> = new Set([
  ...["coldTerms", "coldPace"],
  ...["busyParts", "eventGapMs", "missedPace"],
]);
const attempt = text;

const teamDemand = tuple(text, count, amount);

const packedEntry = tuple(
  text,
  count,
  { type: "integer" },
  { type: "integer" },
  { type: "integer" },
  flag,
  text,
);

const storedResponse = object({ status: count, headers, body: bytes });

const keyRecord = object({
  key: text,
  attempt,
  bodyHash: text,
  state: { enum: ["running", "answered", "not-run", "unknown"] },
  runner: text,
  answer: storedResponse,
});

const parts = {
  ...{ type: "array", maxItems: MAX_PACKED_PARTS },
  items: tuple(text, count),
};
/** Bounded by what a process stores of one crash. */
const suspectList = { type: "array", maxItems: 256 };
const suspectTexts = { ...suspectList, items: text };
const crashReport = {
  crash: text,
  ageMs: amount,
  requests: { ...suspectList, items: tuple(text, suspectTexts) },
  cleared: suspectTexts,
};
/** Bounded by the crashes that a process stores. */
const crashList = { type: "array", maxItems: 256 };
const crashDigest = tuple(text, count, count, count);
const crashDigests = { digests: { ...crashList, items: crashDigest } };
const teams = { type: "array", items: tuple(text, amount) };
/** More than an admission controller reports. */
const busyParts = { type: "array", maxItems: 64, items: tuple(text, amount) };
const prompt = {
  ...{ team: text, parts, outputTokens: amount },
  eventGapMs: amount,
};

const origin = {
  state: { enum: ["known", "ambiguous", "unknown"] },
  service: text,
  softwareVersion: text,
  server: text,
};

const fieldsByType: Record<Message["type"], Record<string, object>> = {
  hello: {
    protocolVersion: count,
    role: { enum: ["router", "side-process"] },
    instance: text,
    incarnation: text,
    availabilityZone: text,
    service: text,
    challenge: bytes,
  },
  proof: { proof: bytes },
  heartbeat: { nextMs: amount, busy: flag, configurationVersion: count },
  leaving: {},
  "configuration-request": {},
  configuration: { version: count, names: { type: "array", items: text } },
  "chunks-request": { names: { type: "array", items: text } },
  chunks: { texts: { type: "array", items: { type: "string" } } },
  demand: { teams: { type: "array", items: teamDemand } },
  grant: { grant: count, team: text },
  "grant-unused": { grant: count, team: text, waiting: count },
  availability: { free: count, slots: count },
  run: {
    attempt,
    grant: count,
    team: text,
    kind: text,
    method: text,
    path: { type: "string", maxLength: 16384 },
    headers,
    body: bytes,
    idempotent: flag,
    idempotencyKey: text,
    remainingMs: amount,
    costHint: amount,
    waiting: count,
  },
  cancel: { attempt },
  acknowledge: { attempt, offset: count },
  delivered: { attempts: { type: "array", items: attempt } },
  resume: { attempt, offset: count, head: flag },
  refused: { attempt, code: text, retryAfterMs: amount },
  head: { attempt, status: count, headers },
  data: { attempt, offset: count, bytes },
  end: { attempt, offset: count },
  failed: {
    attempt,
    outcome: { enum: ["not-run", "unknown", "ran"] },
    code: text,
    sentence: text,
    retryAfterMs: amount,
  },
  counters: { entries: { type: "array", items: packedEntry } },
  claim: { query: count, key: text, attempt, bodyHash: text },
  "claim-answer": {
    query: count,
    state: {
      enum: ["go", "running", "answered", "unknown", "mismatch", "not-arbiter"],
    },
    leaseMs: amount,
    answer: storedResponse,
  },
  "key-update": {
    query: count,
    records: { type: "array", items: keyRecord },
    memoryMs: amount,
  },
  "key-kept": { query: count },
  "key-query": { query: count, key: text },
  "key-answer": {
    query: count,
    records: { type: "array", maxItems: 1, items: keyRecord },
    memoryMs: amount,
    losses: count,
  },
  strike: { crash: text, fingerprints: { type: "array", items: text } },
  clear: { fingerprint: text },
  "crash-report": crashReport,
  "crash-summary": { digest: count },
  "crash-digests": crashDigests,
  "crash-offer": crashDigests,
  "crash-query": { crashes: { ...crashList, items: text } },
  "crash-record": crashReport,
  "sound-report": { suspects: suspectTexts, ageMs: amount },
  "engine-terms": {
    version: count,
    server: text,
    startedAtMs: amount,
    slots: amount,
    cacheTokens: amount,
    tokensPerMs: amount,
    coldTerms: object({
      ...{ durationMs: amount, requestsPerS: amount, remainingMs: amount },
      routers: count,
    }),
  },
  ask: {
    ask: count,
    ...prompt,
    copiedTokens: amount,
    elsewhere: amount,
    cost: amount,
    objectiveMs: amount,
    leftMs: { type: "number" },
  },
  held: { ask: count, ...prompt, begun: flag },
  withdraw: { ask: count },
  begun: { ask: count },
  finished: {
    ask: count,
    outcome: { enum: ["served", "failed", "neutral"] },
    missedPace: { const: true },
  },
  "server-notice": {
    ...{ server: text, startedAtMs: count, remainingMs: amount },
    notice: { enum: ["leaving", "paused"] },
  },
  evacuations: {
    ...{ era: count, revision: count, ageMs: amount },
    zones: { type: "array", maxItems: MAX_EVACUATED_ZONES, items: text },
  },
  "request-limit": {
    server: text,
    startedAtMs: amount,
    requestsPerS: optionalAmount,
    ageMs: amount,
  },
  "stream-origin": { request: text, ...origin },
  "origin-query": { request: text },
  "origin-answer": { request: text, ...origin },
  permit: { ask: count, uncachedTokens: amount },
  "server-report": {
    runs: count,
    unreadTokens: amount,
    privateTokens: amount,
    asks: count,
    askedTokens: amount,
    tokensPerMs: amount,
    failureShare: amount,
    requestsPerS: optionalAmount,
    freeSlots: count,
    coldPace: object({ requestsPerS: amount, remainingMs: amount }),
    cacheLifetimeMs: optionalAmount,
    routers: count,
    teams,
    busyParts,
  },
};

function tuple(...items: object[]): object {
  const length = items.length;
  return { type: "array", items, minItems: length, maxItems: length };
}

function object(properties: Record<string, object>): object {
  return {
    type: "object",
    required: Object.keys(properties).filter(
      (name) => !OPTIONAL_FIELDS.has(name),
    ),
    additionalProperties: false,
    properties,
  };
}

/** Compiled on first use: compiling all schemas would slow down the start. */
const schemas = new Map<string, Schema<Message>>();

/** Returns the value as a message, or what makes it invalid. */
export function parseMessage(value: unknown): Result<Message, Finding[]> {
  const type = (value as { type?: unknown } | null)?.type;
  if (typeof type !== "string" || !Object.hasOwn(fieldsByType, type)) {
    const message = "Must be a message of a known type";
    return err([{ path: "/type", line: null, message }]);
  }
  return schemaOf(type as Message["type"]).check(value);
}

/** Messages that come from all admission controllers as soon as a router starts. */
const FIRST_MESSAGES: readonly Message["type"][] = [
  ...(["hello", "proof", "heartbeat", "server-report"] as const),
  ...(["permit"] as const),
];
/** Messages that come first, and many at once, when a server crashes. */
const BURST_MESSAGES: readonly Message["type"][] = [
  ...(["crash-report", "sound-report", "crash-summary"] as const),
  ...(["crash-digests", "crash-offer", "crash-query"] as const),
  ...(["crash-record", "server-notice", "request-limit"] as const),
  "evacuations",
];
/** Each schema takes some milliseconds to compile. */
const PREPARATION_INTERVAL_MS = 200;

/**
 * Compiles the schemas of messages that a router gets as soon as it starts. Call
 * it before callers come: it takes up to a tenth of a second of a full core.
 */
export function compileFirstSchemas(): void {
  for (const type of FIRST_MESSAGES) schemaOf(type).compile();
}

/**
 * Compiles the schemas of messages that come in bursts, one at a time: at the
 * first message of a burst it would delay all others. Returns a function that
 * stops it.
 */
export function prepareSchemas(): () => void {
  const left = [...BURST_MESSAGES];
  const timer = setInterval(() => {
    const next = left.shift();
    if (next === undefined) clearInterval(timer);
    else schemaOf(next).compile();
  }, PREPARATION_INTERVAL_MS);
  return () => clearInterval(timer);
}

function schemaOf(type: Message["type"]): Schema<Message> {
  const known = schemas.get(type);
  if (known !== undefined) return known;
  const fields = { type: { const: type }, ...fieldsByType[type] };
  const schema = new Schema<Message>(object(fields));
  schemas.set(type, schema);
  return schema;
}
