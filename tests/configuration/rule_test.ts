/** Property tests of rule evaluation against a reference implementation. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  explain,
  findMatchingRule,
  type RequestFacts,
  type Rule,
} from "../../src/configuration/mod.ts";

const SEED = 4713;

const value = fc.constantFrom("a", "b", "c");
const values = fc.uniqueArray(value, { minLength: 1, maxLength: 2 });
const clockTime = fc.constantFrom("00:00", "06:00", "12:00", "23:30");

const when: fc.Arbitrary<Rule["when"]> = fc.record(
  {
    team: values,
    service: values,
    kind: values,
    method: values,
    pathPrefix: fc.constantFrom("/", "/a", "/a/b"),
    header: fc.record({ name: fc.constant("X-Word"), value: value }),
    costHintAtLeast: fc.nat({ max: 3 }),
    timeOfDay: fc.record({ from: clockTime, to: clockTime }),
    availabilityZone: values,
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
  team: value,
  service: value,
  kind: value,
  method: value,
  path: fc.constantFrom("/", "/a", "/a/b/c", "/b"),
  headers: fc.record({ "x-word": value }),
  costHint: fc.nat({ max: 4 }),
  availabilityZone: value,
  minuteOfDay: fc.nat({ max: 1439 }),
});

/** Reference implementation, deliberately unlike the tested one. */
function matchesReference(rule: Rule, request: RequestFacts): boolean {
  const { when } = rule;
  const isListed = (list: readonly string[] | undefined, value: string) =>
    list === undefined || new Set(list).has(value);
  const checks = [
    isListed(when.team, request.team),
    isListed(when.service, request.service),
    isListed(when.kind, request.kind),
    isListed(when.method, request.method),
    isListed(when.availabilityZone, request.availabilityZone),
    request.path.indexOf(when.pathPrefix ?? "") === 0,
    !when.header || request.headers["x-word"] === when.header.value,
    !((when.costHintAtLeast ?? 0) > request.costHint),
    !when.timeOfDay || isInSpan(when.timeOfDay, request.minuteOfDay),
  ];
  return !checks.includes(false);
}

function isInSpan(span: { from: string; to: string }, minute: number): boolean {
  const toMinutes = (text: string) => {
    const [hours = 0, minutes = 0] = text.split(":").map(Number);
    return hours * 60 + minutes;
  };
  const from = toMinutes(span.from);
  let at = from;
  // Collects the span's minutes one by one, across midnight if necessary.
  const inside = new Set<number>();
  while (at !== toMinutes(span.to)) {
    inside.add(at);
    at = (at + 1) % 1440;
  }
  return inside.has(minute);
}

test("the first rule that matches applies", () => {
  fc.assert(
    fc.property(rules, facts, (list, request) => {
      const expected =
        list.find((rule) => matchesReference(rule, request)) ?? null;
      assert.equal(findMatchingRule(list, request), expected);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

test("explain ends at the match and names failed conditions before it", () => {
  fc.assert(
    fc.property(rules, facts, (list, request) => {
      const evaluations = explain(list, request);
      const decided = findMatchingRule(list, request);
      const last = evaluations.at(-1);
      if (decided !== null) assert.equal(last?.rule, decided);
      else assert.equal(evaluations.length, list.length);
      const before = decided === null ? evaluations : evaluations.slice(0, -1);
      assert.ok(before.every(({ failed }) => failed.length > 0));
    }),
    { seed: SEED },
  );
});
