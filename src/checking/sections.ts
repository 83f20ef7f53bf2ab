/** The sections of both kinds of configuration, as the comparison takes them. */

import type { Document } from "../configuration/mod.ts";
import type { FleetConfiguration } from "../routing/mod.ts";
import type { Entry, Section } from "./difference.ts";

/** Sections of a fleet's configuration; the order of routes says nothing. */
export function sectionsOfFleet({
  routes,
  services,
  teams,
  limits,
}: FleetConfiguration): Section[] {
  return [
    { name: "routes", entries: routes.map((route) => toEntry(route)) },
    { name: "services", entries: services.map((one) => toEntry(one)) },
    {
      name: "teams",
      entries: (teams ?? []).map(({ apiKeys, ...team }) => {
        return { ...toEntry(team), secrets: apiKeys };
      }),
    },
    { name: "limits", entries: [toEntry({ name: "limits", ...limits })] },
  ];
}

/** Sections of a document; of its rules, the first that matches applies. */
export function sectionsOfDocument({
  rules,
  services,
  contracts,
  teams,
  targets,
}: Document): Section[] {
  const rulesByOrder = rules.map((rule) => toEntry(rule));
  return [
    { name: "rules", entries: rulesByOrder, isOrdered: true },
    { name: "services", entries: services.map((one) => toEntry(one)) },
    { name: "contracts", entries: contracts.map((one) => toEntry(one)) },
    {
      name: "teams",
      entries: teams.map(({ keyHash, ...team }) => {
        return { ...toEntry(team), secrets: [keyHash] };
      }),
    },
    {
      name: "targets",
      entries: targets.map(({ service, team, measure, ...target }) => {
        const name = `${measure} at ${service} for ${team ?? "each team"}`;
        return toEntry({ name, ...target });
      }),
    },
  ];
}

function toEntry({ name, ...values }: { readonly name: string }): Entry {
  const fields = Object.entries(values).map(
    ([field, value]): [string, string] => [field, JSON.stringify(value)],
  );
  return { name, fields: Object.fromEntries(fields) };
}
