/**
 * Checks that a schema can't express: references, unique names and keys,
 * comparable meters, and rules that can never match.
 */

import { covers } from "./coverage.ts";
import type { Document, Rule } from "./document.ts";

/** An error in a document; `path` is a JSON pointer. */
export interface SemanticError {
  readonly path: string;
  readonly message: string;
}

interface KnownNames {
  readonly teams: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
}

interface Context {
  readonly document: Document;
  readonly known: KnownNames;
}

/** Returns all semantic errors of a document that matches its schema. */
export function findSemanticErrors(document: Document): SemanticError[] {
  return [
    ...findReferenceErrors(document),
    ...findUnreachableRules(document.rules),
  ];
}

/** Returns the semantic errors but for rules that can never match. */
export function findReferenceErrors(document: Document): SemanticError[] {
  const known: KnownNames = {
    teams: namesOf(document.teams),
    services: namesOf(document.services),
  };
  return [
    ...checkDuplicateNames(document),
    ...checkTeams(document),
    ...checkMeters(document),
    ...document.rules.flatMap((rule, index) =>
      checkRule({ document, known }, rule, `/rules/${index}`),
    ),
    ...checkTargets(document, known),
  ];
}

function checkDuplicateNames(document: Document): SemanticError[] {
  const sections = ["services", "contracts", "teams", "rules"] as const;
  return sections.flatMap((section) => {
    const seen = new Set<string>();
    return document[section].flatMap(({ name }, index) => {
      if (!seen.has(name)) {
        seen.add(name);
        return [];
      }
      const path = `/${section}/${index}/name`;
      return [{ path, message: `Name "${name}" stands twice` }];
    });
  });
}

function checkTeams({ teams, contracts }: Document): SemanticError[] {
  const known = namesOf(contracts);
  const hashes = new Map<string, string>();
  return teams.flatMap(({ name, contract, keyHash }, index) => {
    const found: SemanticError[] = [];
    if (!known.has(contract)) {
      const path = `/teams/${index}/contract`;
      found.push({ path, message: `Contract "${contract}" is not known` });
    }
    const other = hashes.get(keyHash);
    if (other !== undefined) {
      const path = `/teams/${index}/keyHash`;
      found.push({ path, message: `Key is also that of team "${other}"` });
    }
    hashes.set(keyHash, name);
    return found;
  });
}

/** Use can only be compared if all contracts have one type of meter. */
function checkMeters({ contracts }: Document): SemanticError[] {
  const first = contracts[0];
  return contracts.flatMap(({ meter }, index) => {
    if (first === undefined || meter.type === first.meter.type) return [];
    const message =
      `Meter "${meter.type}" can't be compared with "${first.meter.type}" ` +
      `of contract "${first.name}"; use one type of meter`;
    return [{ path: `/contracts/${index}/meter/type`, message }];
  });
}

function checkRule(
  { document, known: { teams, services } }: Context,
  rule: Rule,
  path: string,
): SemanticError[] {
  const { when, then } = rule;
  const found: SemanticError[] = [];
  when.team?.forEach((team, index) => {
    if (teams.has(team)) return;
    const location = `${path}/when/team/${index}`;
    found.push({ path: location, message: `Team "${team}" is not known` });
  });
  when.service?.forEach((service, index) => {
    if (services.has(service)) return;
    const location = `${path}/when/service/${index}`;
    found.push({
      path: location,
      message: `Service "${service}" is not known`,
    });
  });
  if (then.type === "send")
    found.push(...checkSendAction(document, then, path));
  return found;
}

function checkSendAction(
  { services }: Document,
  { service, version }: { readonly service: string; readonly version?: string },
  path: string,
): SemanticError[] {
  const known = services.find(({ name }) => name === service);
  if (known === undefined) {
    const message = `Service "${service}" is not known`;
    return [{ path: `${path}/then/service`, message }];
  }
  if (version === undefined || known.versions?.includes(version)) return [];
  const message = `Version "${version}" of "${service}" is not known`;
  return [{ path: `${path}/then/version`, message }];
}

/** Returns an error for each rule that an earlier one hides. */
export function findUnreachableRules(rules: readonly Rule[]): SemanticError[] {
  return rules.flatMap((rule, index) => {
    const earlier = rules
      .slice(0, index)
      .find((other) => covers(other.when, rule.when));
    if (earlier === undefined) return [];
    const message =
      `Rule "${rule.name}" can never match: rule "${earlier.name}" ` +
      "before it matches all of its requests";
    return [{ path: `/rules/${index}`, message }];
  });
}

function checkTargets(
  { targets }: Document,
  { teams, services }: KnownNames,
): SemanticError[] {
  return targets.flatMap(({ service, team }, index) => {
    const path = `/targets/${index}`;
    const found: SemanticError[] = [];
    if (!services.has(service)) {
      const message = `Service "${service}" is not known`;
      found.push({ path: `${path}/service`, message });
    }
    if (team !== undefined && !teams.has(team)) {
      found.push({
        path: `${path}/team`,
        message: `Team "${team}" is not known`,
      });
    }
    return found;
  });
}

function namesOf(items: readonly { readonly name: string }[]): Set<string> {
  return new Set(items.map(({ name }) => name));
}
