/** Messages that open a connection and keep it. */

/** Version of the protocol; peers of another version are refused. */
export const PROTOCOL_VERSION = 1;

/** What a process does in the fleet. */
export type Role = "router" | "side-process";

/** Opens a connection, from both ends. */
export interface Hello {
  readonly type: "hello";
  readonly protocolVersion: number;
  readonly role: Role;
  readonly instance: string;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Service of a side process; empty for a router. */
  readonly service: string;
  readonly challenge: Uint8Array;
}

/** Shows knowledge of the fleet key over the peer's challenge. */
export interface Proof {
  readonly type: "proof";
  readonly proof: Uint8Array;
}

/** Heartbeat; the next one follows within `nextMs`. */
export interface Heartbeat {
  readonly type: "heartbeat";
  readonly nextMs: number;
  /** Whether the sender waits for something; the receiver beats as fast. */
  readonly busy: boolean;
  readonly configurationVersion: number;
}

/** Says that the sender takes no new work from now on. */
export interface Leaving {
  readonly type: "leaving";
}
