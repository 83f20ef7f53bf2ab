/** Connections between processes of the system: framed CBOR messages. */

export { encode } from "./codec.ts";
export {
  ADMISSION_HEARTBEAT_MS,
  Connection,
  type ConnectionOwner,
} from "./connection.ts";
export { Dialer } from "./dialer.ts";
export type { Credentials } from "./handshake.ts";
export type { Identity } from "./identity.ts";
export { type ListenAddress, Listener } from "./listener.ts";
export { Traffic, type TrafficTotals } from "./traffic.ts";
