/** The operators' document: rules, contracts, teams, services, targets. */

/** A service that requests can name. */
export interface Service {
  readonly name: string;
  /** Model engines speak chat completions; plain services any HTTP. */
  readonly type: "model" | "plain";
  /** Versions that rules can send to; each has its own backend servers. */
  readonly versions?: readonly string[];
  /** Whether requests are idempotent when nothing says otherwise. */
  readonly idempotent: boolean;
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number;
  /** Deadline of requests that name none, in milliseconds. */
  readonly deadlineMs: number;
}

/** How a contract measures service. */
export type Meter =
  | {
      readonly type: "tokens";
      readonly promptWeight: number;
      readonly generatedWeight: number;
    }
  | {
      readonly type: "completed";
      readonly defaultWeight: number;
      readonly weightByKind: Readonly<Record<string, number>>;
    };

/** Terms that teams share capacity by. */
export interface Contract {
  readonly name: string;
  /** Share relative to other contracts; above 0. */
  readonly weight: number;
  readonly meter: Meter;
  readonly maxWaitingPerRouter: number;
  readonly maxInProgressPerRouter: number;
}

/** A team that sends requests. */
export interface Team {
  readonly name: string;
  /** SHA-256 of the team's key, in hexadecimal. */
  readonly keyHash: string;
  /** Name of its contract. */
  readonly contract: string;
}

/** Conditions of a rule; all that are given must hold. */
export interface When {
  readonly team?: readonly string[];
  readonly service?: readonly string[];
  readonly kind?: readonly string[];
  readonly method?: readonly string[];
  readonly pathPrefix?: string;
  readonly header?: { readonly name: string; readonly value: string };
  readonly costHintAtLeast?: number;
  readonly timeOfDay?: TimeOfDay;
  readonly availabilityZone?: readonly string[];
}

/** A span of the day in UTC, as `HH:MM`; may pass midnight. */
export interface TimeOfDay {
  readonly from: string;
  readonly to: string;
}

/** How an admitted request is treated. */
export interface Treatment {
  /** Higher goes first within a team; 0 when absent. */
  readonly priority?: number;
  readonly deadlineMs?: number;
  readonly idempotent?: boolean;
  readonly maxWaitingPerRouter?: number;
  readonly maxInProgressPerRouter?: number;
}

/** What a rule does with a request. */
export type Then =
  | ({ readonly type: "admit" } & Treatment)
  | ({
      readonly type: "send";
      readonly service: string;
      readonly version?: string;
    } & Treatment)
  | {
      readonly type: "refuse";
      readonly status: number;
      readonly reason: string;
      readonly retryAfterSeconds?: number;
    };

/** One rule; the first that matches decides. */
export interface Rule {
  readonly name: string;
  readonly when: When;
  readonly then: Then;
}

/** A service-level target. */
export interface Target {
  readonly service: string;
  /** All teams when absent. */
  readonly team?: string;
  readonly measure: "first-token" | "between-tokens" | "completion";
  readonly limitMs: number;
  /** Share of requests that must keep the limit, such as 0.95. */
  readonly objective: number;
}

/** Name under which the backend servers of a version are listed. */
export function versionedName(service: string, version: string): string {
  return `${service}@${version}`;
}

/** All of a document but its teams. */
export interface DocumentHead {
  readonly services: readonly Service[];
  readonly contracts: readonly Contract[];
  readonly rules: readonly Rule[];
  readonly targets: readonly Target[];
}

/** The whole document. */
export interface Document extends DocumentHead {
  readonly teams: readonly Team[];
}
