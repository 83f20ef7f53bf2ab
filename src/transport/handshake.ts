/** Mutual proof of the fleet key before any other message. */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { within } from "../common/signal.ts";
import {
  type Hello,
  type Message,
  PROTOCOL_VERSION,
  type Proof,
} from "../protocol/mod.ts";
import type { Connection } from "./connection.ts";
import type { Identity } from "./identity.ts";

/** Longest wait for each message of the handshake. */
const HANDSHAKE_TIMEOUT_MS = 3_000;
const CHALLENGE_BYTES = 16;

/** Which end opened the connection. */
export type End = "dialer" | "listener";

/** What a process shows to a peer. */
export interface Credentials {
  readonly identity: Identity;
  readonly fleetKey: string;
}

/** Returns the authenticated peer, or why it was refused. */
export async function handshake(
  connection: Connection,
  end: End,
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
    return err(`Peer speaks protocol version ${theirs.protocolVersion}`);
  }
  const proof = prove(fleetKey, end, { own, theirs });
  connection.send({ type: "proof", proof });
  const answer = await receive(incoming, "proof");
  if (answer.isErr()) return err(answer.error);
  const other = end === "dialer" ? "listener" : "dialer";
  const expected = prove(fleetKey, other, { own: theirs, theirs: own });
  const shown = (answer.value as Proof).proof;
  if (shown.length !== expected.length || !timingSafeEqual(shown, expected)) {
    return err("Peer does not know the fleet key");
  }
  return ok(theirs);
}

async function receive(
  incoming: AsyncIterator<Message>,
  type: "hello" | "proof",
): Promise<Result<Message, string>> {
  const next = await within(incoming.next(), HANDSHAKE_TIMEOUT_MS);
  if (next.type === "timeout") {
    return err(`Waited ${HANDSHAKE_TIMEOUT_MS} ms for the peer's ${type}`);
  }
  if (next.value.done === true) return err(`Closed before the peer's ${type}`);
  const message = next.value.value;
  if (message.type === type) return ok(message);
  return err(`Peer sent ${message.type} in place of ${type}`);
}

/** The end and both challenges are covered, so a proof can't be reflected. */
function prove(
  fleetKey: string,
  end: End,
  { own, theirs }: { readonly own: Hello; readonly theirs: Hello },
): Buffer {
  return createHmac("sha256", fleetKey)
    .update(`${end}\n${own.role}\n${own.instance}\n${own.incarnation}\n`)
    .update(theirs.challenge)
    .update(own.challenge)
    .digest();
}
