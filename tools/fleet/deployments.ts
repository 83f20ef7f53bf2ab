/** The two reference deployments that tests, demo and benchmarks start. */

import {
  type Contract,
  type Document,
  hashKey,
  type Meter,
  type Rule,
} from "../../src/configuration/mod.ts";
import type { Plan, ServicePlan, TeamKey } from "./plan.ts";

const TEAM_COUNT = 16;
/** So many teams, from the first, have the large contract. */
const LARGE_TEAM_COUNT = 3;
const LARGE_TEAM_WEIGHT = 4;

/** The properties in which the deployments differ. */
interface DeploymentOptions {
  readonly teamPrefix: string;
  readonly meter: Meter;
  readonly availabilityZones: readonly string[];
  readonly services: readonly ServicePlan[];
  readonly rules: readonly Rule[];
}

/** Vrátnik Spolu: concierge desks, metered by tokens. */
export function deskDeployment(): Plan {
  return createPlan({
    teamPrefix: "desk",
    meter: { type: "tokens", promptWeight: 0.25, generatedWeight: 1 },
    availabilityZones: ["petrzalka", "ruzinov", "karlova-ves"],
    services: [
      service("desk-model", "model", { replicas: 6, stepMs: 2.5 }),
      service("desk-app", "plain", { replicas: 3, stepMs: 10 }),
    ],
    rules: [
      {
        name: "notices-once",
        when: { kind: ["notice"] },
        then: { type: "admit", idempotent: false },
      },
      {
        name: "calls-first",
        when: { kind: ["call"] },
        then: { type: "admit", priority: 10 },
      },
    ],
  });
}

/** The uniform swap shops: metered by completed requests. */
export function shopDeployment(): Plan {
  return createPlan({
    teamPrefix: "shop",
    meter: {
      type: "completed",
      defaultWeight: 1,
      weightByKind: { exchange: 3, draft: 2 },
    },
    availabilityZones: ["riga-a", "riga-b", "riga-c", "riga-d"],
    services: [
      service("drafting-pool", "model", { replicas: 6, stepMs: 4.5 }),
      service("counter-app", "plain", { replicas: 4, stepMs: 10 }),
    ],
    rules: [
      {
        name: "exchanges-once",
        when: { kind: ["exchange"] },
        then: { type: "admit", idempotent: false },
      },
    ],
  });
}

function service(
  name: string,
  type: ServicePlan["type"],
  { replicas, stepMs }: { readonly replicas: number; readonly stepMs: number },
): ServicePlan {
  return { name, type, replicas, stepMs, slots: 8 };
}

function createPlan(options: DeploymentOptions): Plan {
  const { availabilityZones, services } = options;
  const teams = Array.from({ length: TEAM_COUNT }, (_, index) => {
    const name = `${options.teamPrefix}-${String(index + 1).padStart(2, "0")}`;
    return { name, key: `key-of-${name}` };
  });
  const document = createDocument(options, teams);
  return { availabilityZones, routers: 3, services, teams, document };
}

function createDocument(
  options: DeploymentOptions,
  teams: readonly TeamKey[],
): Document {
  const contract = (name: string, weight: number): Contract => ({
    name,
    weight,
    meter: options.meter,
    maxWaitingPerRouter: 200,
    maxInProgressPerRouter: 400,
  });
  return {
    services: options.services.map(({ name, type }) => ({
      name,
      type,
      idempotent: type === "model",
      maxBodyBytes: 1024 * 1024,
      deadlineMs: 30_000,
    })),
    contracts: [contract("small", 1), contract("large", LARGE_TEAM_WEIGHT)],
    teams: teams.map(({ name, key }, index) => ({
      name,
      keyHash: hashKey(key),
      contract: index < LARGE_TEAM_COUNT ? "large" : "small",
    })),
    rules: options.rules,
    targets: options.services.flatMap(({ name, type }) =>
      type === "model"
        ? [target(name, "first-token", 350), target(name, "between-tokens", 31)]
        : [target(name, "completion", 1_000)],
    ),
  };
}

function target(
  service: string,
  measure: Document["targets"][number]["measure"],
  limitMs: number,
): Document["targets"][number] {
  return { service, measure, limitMs, objective: 0.95 };
}
