/** Checks what a document means, beyond its shape. */

import { covers } from "./coverage.ts";
import type { Document, Rule } from "./document.ts";

/** A finding without its line. */
export interface Remark {
  readonly path: string;
  readonly message: string;
}

interface Known {
  readonly teams: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
}

interface Context {
  readonly document: Document;
  readonly known: Known;
}

/** Returns everything that is wrong with a document's meaning. */
export function remarks(document: Document): Remark[] {
  const known: Known = {
    teams: names(document.teams),
    services: names(document.services),
  };
  return [
    ...duplicates(document),
    ...teamRemarks(document),
    ...meterRemarks(document),
    ...document.rules.flatMap((rule, index) =>
      ruleRemarks({ document, known }, rule, `/rules/${index}`),
    ),
    ...unreachable(document.rules),
    ...targetRemarks(document, known),
  ];
}

function duplicates(document: Document): Remark[] {
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

function teamRemarks({ teams, contracts }: Document): Remark[] {
  const known = names(contracts);
  const hashes = new Map<string, string>();
  return teams.flatMap(({ name, contract, keyHash }, index) => {
    const found: Remark[] = [];
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

function meterRemarks({ contracts }: Document): Remark[] {
  const first = contracts[0];
  return contracts.flatMap(({ meter }, index) => {
    if (first === undefined || meter.type === first.meter.type) return [];
    const message =
      `Meter "${meter.type}" can't be compared with "${first.meter.type}" ` +
      `of contract "${first.name}"; use one type of meter`;
    return [{ path: `/contracts/${index}/meter/type`, message }];
  });
}

function ruleRemarks(
  { document, known: { teams, services } }: Context,
  rule: Rule,
  path: string,
): Remark[] {
  const { when, then } = rule;
  const found: Remark[] = [];
  when.team?.forEach((team, index) => {
    if (teams.has(team)) return;
    const place = `${path}/when/team/${index}`;
    found.push({ path: place, message: `Team "${team}" is not known` });
  });
  when.service?.forEach((service, index) => {
    if (services.has(service)) return;
    const place = `${path}/when/service/${index}`;
    found.push({ path: place, message: `Service "${service}" is not known` });
  });
  if (then.type === "send") found.push(...sendRemarks(document, then, path));
  return found;
}

function sendRemarks(
  { services }: Document,
  { service, version }: { readonly service: string; readonly version?: string },
  path: string,
): Remark[] {
  const known = services.find(({ name }) => name === service);
  if (known === undefined) {
    const message = `Service "${service}" is not known`;
    return [{ path: `${path}/then/service`, message }];
  }
  if (version === undefined || known.versions?.includes(version)) return [];
  const message = `Version "${version}" of "${service}" is not known`;
  return [{ path: `${path}/then/version`, message }];
}

function unreachable(rules: readonly Rule[]): Remark[] {
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

function targetRemarks(
  { targets }: Document,
  { teams, services }: Known,
): Remark[] {
  return targets.flatMap(({ service, team }, index) => {
    const path = `/targets/${index}`;
    const found: Remark[] = [];
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

function names(items: readonly { readonly name: string }[]): Set<string> {
  return new Set(items.map(({ name }) => name));
}
