/** Rules against a naive oracle. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  decide,
  explain,
  type RequestFacts,
  type Rule,
} from "../../src/configuration/mod.ts";

const SEED = 4713;

const word = fc.constantFrom("a", "b", "c");
const words = fc.uniqueArray(word, { minLength: 1, maxLength: 2 });
const hour = fc.constantFrom("00:00", "06:00", "12:00", "23:30");

const when: fc.Arbitrary<Rule["when"]> = fc.record(
  {
    team: words,
    service: words,
    kind: words,
    method: words,
    pathPrefix: fc.constantFrom("/", "/a", "/a/b"),
    header: fc.record({ name: fc.constant("X-Word"), value: word }),
    costHintAtLeast: fc.nat({ max: 3 }),
    timeOfDay: fc.record({ from: hour, to: hour }),
    availabilityZone: words,
  },
  { requiredKeys: [] },
);

const rules: fc.Arbitrary<Rule[]> = fc
  .array(when, { maxLength: 6 })
  .map((list) => list.map(createRule));

function createRule(when: Rule["when"], index: number): Rule {
  return { name: `rule ${index}`, when, then: { type: "admit" } };
}

const facts: fc.Arbitrary<RequestFacts> = fc.record({
  team: word,
  service: word,
  kind: word,
  method: word,
  path: fc.constantFrom("/", "/a", "/a/b/c", "/b"),
  headers: fc.record({ "x-word": word }),
  costHint: fc.nat({ max: 4 }),
  availabilityZone: word,
  minuteOfDay: fc.nat({ max: 1439 }),
});

/** Written apart from the product, on purpose in another way. */
function naive(rule: Rule, request: RequestFacts): boolean {
  const { when } = rule;
  const listed = (list: readonly string[] | undefined, value: string) =>
    list === undefined || new Set(list).has(value);
  const checks = [
    listed(when.team, request.team),
    listed(when.service, request.service),
    listed(when.kind, request.kind),
    listed(when.method, request.method),
    listed(when.availabilityZone, request.availabilityZone),
    request.path.indexOf(when.pathPrefix ?? "") === 0,
    !when.header || request.headers["x-word"] === when.header.value,
    !((when.costHintAtLeast ?? 0) > request.costHint),
    !when.timeOfDay || inSpan(when.timeOfDay, request.minuteOfDay),
  ];
  return !checks.includes(false);
}

function inSpan(span: { from: string; to: string }, minute: number): boolean {
  const toMinutes = (text: string) => {
    const [hours = 0, minutes = 0] = text.split(":").map(Number);
    return hours * 60 + minutes;
  };
  const from = toMinutes(span.from);
  let at = from;
  // Walks the span minute by minute, over midnight if need be.
  const inside = new Set<number>();
  while (at !== toMinutes(span.to)) {
    inside.add(at);
    at = (at + 1) % 1440;
  }
  return inside.has(minute);
}

test("the first rule that matches decides", () => {
  fc.assert(
    fc.property(rules, facts, (list, request) => {
      const expected = list.find((rule) => naive(rule, request)) ?? null;
      assert.equal(decide(list, request), expected);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

test("explain ends at the rule that decides and names what failed before", () => {
  fc.assert(
    fc.property(rules, facts, (list, request) => {
      const trials = explain(list, request);
      const decided = decide(list, request);
      const last = trials.at(-1);
      if (decided !== null) assert.equal(last?.rule, decided);
      else assert.equal(trials.length, list.length);
      const before = decided === null ? trials : trials.slice(0, -1);
      assert.ok(before.every(({ failed }) => failed.length > 0));
    }),
    { seed: SEED },
  );
});
