/** Mutual authentication by the fleet key, before any other message. */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { withTimeout } from "../common/promises.ts";
import {
  type Hello,
  type Message,
  PROTOCOL_VERSION,
  type Proof,
} from "../protocol/mod.ts";
import type { Connection } from "./connection.ts";
import type { Identity } from "./identity.ts";

/** Limit for each message of the handshake. */
const HANDSHAKE_TIMEOUT_MS = 3_000;
const CHALLENGE_BYTES = 16;

/** The side that opened the connection, or the side that accepted it. */
export type ConnectionSide = "dialer" | "listener";

/** Identity of a process and the key that it authenticates with. */
export interface Credentials {
  readonly identity: Identity;
  readonly fleetKey: string;
}

/** Returns the authenticated peer, or why authentication failed. */
export async function handshake(
  connection: Connection,
  side: ConnectionSide,
  { identity, fleetKey }: Credentials,
): Promise<Result<Identity, string>> {
  const incoming = connection.messages[Symbol.asyncIterator]();
  const challenge = randomBytes(CHALLENGE_BYTES);
  const { role, instance, incarnation, availabilityZone, service } = identity;
  const own: Hello = {
    type: "hello",
    protocolVersion: PROTOCOL_VERSION,
    ...{ role, instance, incarnation, availabilityZone, service, challenge },
  };
  connection.send(own);
  const hello = await receive(incoming, "hello");
  if (hello.isErr()) return err(hello.error);
  const theirs = hello.value as Hello;
  if (theirs.protocolVersion !== PROTOCOL_VERSION) {
    return err(`Peer uses another protocol version: ${theirs.protocolVersion}`);
  }
  const proof = computeProof(fleetKey, side, { own, theirs });
  connection.send({ type: "proof", proof });
  const peerProof = await receive(incoming, "proof");
  if (peerProof.isErr()) return err(peerProof.error);
  const peerSide = side === "dialer" ? "listener" : "dialer";
  const expected = computeProof(fleetKey, peerSide, {
    own: theirs,
    theirs: own,
  });
  const received = (peerProof.value as Proof).proof;
  if (
    received.length !== expected.length ||
    !timingSafeEqual(received, expected)
  ) {
    return err("Peer's proof does not match the fleet key");
  }
  return ok(theirs);
}

async function receive(
  incoming: AsyncIterator<Message>,
  type: "hello" | "proof",
): Promise<Result<Message, string>> {
  const next = await withTimeout(incoming.next(), HANDSHAKE_TIMEOUT_MS);
  if (next.type === "timeout") {
    return err(
      `Timed out after ${HANDSHAKE_TIMEOUT_MS} ms waiting for ${type}`,
    );
  }
  if (next.value.done === true) return err(`Closed before ${type} arrived`);
  const message = next.value.value;
  if (message.type === type) return ok(message);
  return err(`Peer sent ${message.type} instead of ${type}`);
}

/**
 * Returns the proof: an HMAC over the side, its identity and both challenges.
 * Covering the side and both challenges keeps a proof from being reflected.
 */
function computeProof(
  fleetKey: string,
  side: ConnectionSide,
  { own, theirs }: { readonly own: Hello; readonly theirs: Hello },
): Buffer {
  return createHmac("sha256", fleetKey)
    .update(`${side}\n${own.role}\n${own.instance}\n${own.incarnation}\n`)
    .update(theirs.challenge)
    .update(own.challenge)
    .digest();
}
