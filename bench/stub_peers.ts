/**
 * Stub peers: they speak the protocol and do no work of their own, so that one
 * real process can be loaded with many connections.
 */

import { systemClock } from "../src/common/clock.ts";
import type { Message } from "../src/protocol/mod.ts";
import {
  type Connection,
  type ConnectionOwner,
  Dialer,
  type Identity,
  type ListenAddress,
  Listener,
  Traffic,
} from "../src/transport/mod.ts";
import { FLEET_KEY } from "../tools/fleet/fleet.ts";

/** Handles a message from the real process. */
export type MessageHandler = (connection: Connection, message: Message) => void;

/** Called once the handshake of a connection is done. */
export type ConnectionHandler = (connection: Connection) => void;

/** What a stub peer does; nothing by default. */
export interface StubBehaviour {
  readonly onConnection?: ConnectionHandler;
  readonly onMessage?: MessageHandler;
}

/** Starts a stub peer that connects to a process, again after each loss. */
export function dialAsStub(
  identity: Identity,
  address: ListenAddress,
  behaviour: StubBehaviour = {},
): Dialer {
  const credentials = { identity, fleetKey: FLEET_KEY };
  const dialer = new Dialer(credentials, createConnectionOwner(), {
    serve: (connection) => serve(connection, behaviour),
  });
  void dialer.run(address);
  return dialer;
}

/** Starts a stub peer that accepts connections. */
export async function listenAsStub(
  identity: Identity,
  address: ListenAddress,
  behaviour: StubBehaviour = {},
): Promise<Listener> {
  const credentials = { identity, fleetKey: FLEET_KEY };
  const listener = new Listener(credentials, createConnectionOwner(), {
    serve: (connection) => serve(connection, behaviour),
  });
  await listener.listen(address);
  return listener;
}

/** Creates the identity of a stub peer; `service` is empty for a router. */
export function createStubIdentity(
  role: Identity["role"],
  instance: string,
  service: string,
): Identity {
  const incarnation = `light-${instance}`;
  return { role, instance, incarnation, availabilityZone: "light", service };
}

async function serve(
  connection: Connection,
  { onConnection: greet, onMessage: react }: StubBehaviour,
): Promise<void> {
  greet?.(connection);
  for await (const message of connection.messages) react?.(connection, message);
}

function createConnectionOwner(): ConnectionOwner {
  return {
    clock: systemClock,
    traffic: new Traffic(),
    configurationVersion: () => 0,
  };
}
