/** Messages that open a connection and keep it alive. */

/** Version of the protocol; peers with another version are refused. */
export const PROTOCOL_VERSION = 1;

/** Role of a process in the fleet. */
export type Role = "router" | "side-process";

/** First message on a connection, sent by both ends. */
export interface Hello {
  readonly type: "hello";
  readonly protocolVersion: number;
  readonly role: Role;
  readonly instance: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Service of a side process; empty for a router. */
  readonly service: string;
  /** Bytes over which the peer has to compute its proof. */
  readonly challenge: Uint8Array;
}

/** Proves knowledge of the fleet key, computed over the peer's challenge. */
export interface Proof {
  readonly type: "proof";
  readonly proof: Uint8Array;
}

/** Keeps a connection alive; the next one follows within `nextMs`. */
export interface Heartbeat {
  readonly type: "heartbeat";
  readonly nextMs: number;
  /**
   * Whether requests are in progress at the sender. Both ends then send
   * heartbeats at the shorter interval.
   */
  readonly busy: boolean;
  /** Version of the configuration that is active at the sender. */
  readonly configurationVersion: number;
}

/** Announces that the sender shuts down and accepts no new work. */
export interface LeavingNotice {
  readonly type: "leaving";
}
