/** Validation reports all findings of a document with their lines. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { type Document, validate } from "../../src/configuration/mod.ts";
import {
  deskDeployment,
  shopDeployment,
} from "../../tools/fleet/deployments.ts";

function createText(change: (document: Document) => unknown): string {
  const { document } = deskDeployment();
  return JSON.stringify(change(document), null, 2);
}

function findingsOf(text: string): string[] {
  return validate(text).match(
    () => [],
    (findings) => findings.map(({ path, message }) => `${path}: ${message}`),
  );
}

test("the documents of the desk and shop deployments are valid", () => {
  for (const { document } of [deskDeployment(), shopDeployment()]) {
    assert.deepEqual(findingsOf(JSON.stringify(document)), []);
  }
});

test("a syntax error is reported with its line", () => {
  const findings = validate('{\n  "services": [,]\n}')._unsafeUnwrapErr();
  assert.equal(findings[0]?.line, 2);
});

test("all schema errors are reported together", () => {
  const findings = findingsOf(
    createText((document) => ({
      ...document,
      contracts: [{ ...document.contracts[0], weight: 0 }],
      rules: [{ name: "x", when: { tema: ["a"] }, then: { type: "admit" } }],
    })),
  );
  assert.ok(findings.some((one) => one.startsWith("/contracts/0/weight")));
  assert.ok(findings.some((one) => one.includes('Unknown field "tema"')));
});

test("all semantic errors are reported together", () => {
  const findings = findingsOf(
    createText((document) => ({
      ...document,
      teams: [
        { ...document.teams[0], contract: "tiny" },
        { ...document.teams[1], name: document.teams[0]?.name },
      ],
      rules: [
        { name: "all", when: {}, then: { type: "admit" } },
        { name: "late", when: { team: ["nobody"] }, then: { type: "admit" } },
        { name: "send", when: {}, then: { type: "send", service: "nowhere" } },
      ],
    })),
  );
  const expected = [
    '/teams/1/name: Name "desk-01" stands twice',
    '/teams/0/contract: Contract "tiny" is not known',
    '/rules/1/when/team/0: Team "nobody" is not known',
    '/rules/2/then/service: Service "nowhere" is not known',
  ];
  for (const one of expected) assert.ok(findings.includes(one), one);
  assert.ok(findings.some((one) => one.includes('"late" can never match')));
});

test("a semantic error is reported with the line of its value", () => {
  const text = createText((document) => ({
    ...document,
    rules: [
      { name: "send", when: {}, then: { type: "send", service: "nowhere" } },
    ],
  }));
  const [finding] = validate(text)._unsafeUnwrapErr();
  const line = text.split("\n").findIndex((one) => one.includes("nowhere")) + 1;
  assert.equal(finding?.line, line);
});
