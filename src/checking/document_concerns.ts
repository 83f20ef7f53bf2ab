/** Checks of the operators' document, beyond what its validation refuses. */

import type { Document, Rule, Target } from "../configuration/mod.ts";
import { type Concern, concern } from "./concern.ts";

/** Returns the concerns about a document that is valid. */
export function findDocumentConcerns(document: Document): Concern[] {
  const { rules, targets, services } = document;
  const rulesFound = rules.flatMap(checkRule);
  return [
    ...rulesFound,
    ...checkContracts(document),
    ...targets.flatMap((target, index) => [
      ...checkLimit(target, index, services),
      ...checkOtherTargets(target, index, targets),
    ]),
  ];
}

function checkRule({ name, when }: Rule, index: number): Concern[] {
  const path = `/rules/${index}/when`;
  const found: Concern[] = [];
  const add = (reason: string) => {
    const message = `Rule "${name}" can never match: ${reason}`;
    found.push(concern("never-matches", path, message));
  };
  const { pathPrefix, timeOfDay } = when;
  if (pathPrefix !== undefined && !pathPrefix.startsWith("/"))
    add(`no path begins with "${pathPrefix}"`);
  if (timeOfDay !== undefined && timeOfDay.from === timeOfDay.to)
    add(`its span ends at ${timeOfDay.to}, when it begins`);
  return found;
}

function checkContracts({ contracts, teams }: Document): Concern[] {
  return contracts.flatMap(({ name }, index) => {
    if (teams.some(({ contract }) => contract === name)) return [];
    const message = `Contract "${name}" has no effect: no team has it`;
    return [concern("never-matches", `/contracts/${index}`, message)];
  });
}

function checkLimit(
  { service, measure, limitMs }: Target,
  index: number,
  services: Document["services"],
): Concern[] {
  const deadlineMs = services.find(({ name }) => name === service)?.deadlineMs;
  if (deadlineMs === undefined || limitMs <= deadlineMs) return [];
  const message = `Requests to "${service}" end after ${deadlineMs} ms, before the target of ${limitMs} ms for ${measure}`;
  return [concern("contradiction", `/targets/${index}`, message)];
}

/** Targets of one measure: more requests can't be held to a shorter limit. */
function checkOtherTargets(
  target: Target,
  index: number,
  targets: readonly Target[],
): Concern[] {
  const { service, measure, objective, limitMs } = target;
  const stricter = targets.find(
    (other) =>
      isSameMeasure(other, target) &&
      other.objective >= objective &&
      other.limitMs < limitMs,
  );
  if (stricter === undefined) return [];
  const message =
    `The target of ${limitMs} ms for ${measure} at "${service}", met by ${objective} of requests, ` +
    `adds nothing to that of ${stricter.limitMs} ms, met by ${stricter.objective}`;
  return [concern("contradiction", `/targets/${index}`, message)];
}

function isSameMeasure(a: Target, b: Target): boolean {
  return (
    a.service === b.service && a.team === b.team && a.measure === b.measure
  );
}
