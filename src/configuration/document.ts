/** Types of the operators' configuration document. */

/** A service to which requests can be addressed. */
export interface Service {
  readonly name: string;
  /** A model service speaks chat completions, a plain service any HTTP. */
  readonly type: "model" | "plain";
  /** Versions that a rule can send to; each has its own backend servers. */
  readonly versions?: readonly string[];
  /** Whether requests are idempotent unless a header or a rule decides. */
  readonly idempotent: boolean;
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number;
  /** Default deadline of a request, in milliseconds. */
  readonly deadlineMs: number;
}

/**
 * Unit in which a contract counts a team's use: weighted tokens, or completed
 * requests weighted by kind. All contracts of a document use the same type.
 */
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

/** Terms on which a team shares capacity with the others. */
export interface Contract {
  readonly name: string;
  /** Share of capacity relative to other contracts; above 0. */
  readonly weight: number;
  readonly meter: Meter;
  /** Requests of one team that may wait for one service at a router. */
  readonly maxWaitingPerRouter: number;
  /** Requests of one team to one service that a router may have running. */
  readonly maxInProgressPerRouter: number;
}

/** A team that sends requests. */
export interface Team {
  readonly name: string;
  /** SHA-256 of the team's key, in hexadecimal. */
  readonly keyHash: string;
  /** Name of the team's contract. */
  readonly contract: string;
}

/** Conditions of a rule; those present must all hold. */
export interface RuleConditions {
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

/** A daily span in UTC, as `HH:MM`, without its end; may cross midnight. */
export interface TimeOfDay {
  readonly from: string;
  readonly to: string;
}

/** How an admitted request is handled. */
export interface RequestOverrides {
  /** Higher values go first within a team; 0 when absent. */
  readonly priority?: number;
  readonly deadlineMs?: number;
  readonly idempotent?: boolean;
  readonly maxWaitingPerRouter?: number;
  readonly maxInProgressPerRouter?: number;
}

/** What a rule does with a request. */
export type RuleAction =
  | ({ readonly type: "admit" } & RequestOverrides)
  | ({
      readonly type: "send";
      readonly service: string;
      readonly version?: string;
    } & RequestOverrides)
  | {
      readonly type: "refuse";
      readonly status: number;
      readonly reason: string;
      readonly retryAfterSeconds?: number;
    };

/** One rule; the first one in the document that matches applies. */
export interface Rule {
  readonly name: string;
  readonly when: RuleConditions;
  readonly then: RuleAction;
}

/** A service-level target on a latency. */
export interface Target {
  readonly service: string;
  /** Each team by itself when absent. */
  readonly team?: string;
  readonly measure: "first-token" | "between-tokens" | "completion";
  readonly limitMs: number;
  /** Fraction of requests that must stay within the limit, such as 0.95. */
  readonly objective: number;
}

/** Returns the service name under which a version's servers are listed. */
export function versionedName(service: string, version: string): string {
  return `${service}@${version}`;
}

/** All sections of a document except its teams. */
export interface DocumentSections {
  readonly services: readonly Service[];
  readonly contracts: readonly Contract[];
  readonly rules: readonly Rule[];
  readonly targets: readonly Target[];
}

/** The whole document. */
export interface Document extends DocumentSections {
  readonly teams: readonly Team[];
}
