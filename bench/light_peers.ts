/** Peers that speak the protocol and do no work, to drive one real process. */

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

/** Reacts to a message of the real process. */
export type React = (connection: Connection, message: Message) => void;

/** Called once a connection stands. */
export type Greet = (connection: Connection) => void;

/** What a light peer does. */
export interface LightBehaviour {
  readonly greet?: Greet;
  readonly react?: React;
}

/** A light peer that dials. */
export function dial(
  identity: Identity,
  address: ListenAddress,
  behaviour: LightBehaviour = {},
): Dialer {
  const credentials = { identity, fleetKey: FLEET_KEY };
  const dialer = new Dialer(credentials, createOwner(), {
    serve: (connection) => serve(connection, behaviour),
  });
  void dialer.run(address);
  return dialer;
}

/** A light peer that listens. */
export async function listen(
  identity: Identity,
  address: ListenAddress,
  behaviour: LightBehaviour = {},
): Promise<Listener> {
  const credentials = { identity, fleetKey: FLEET_KEY };
  const listener = new Listener(credentials, createOwner(), {
    serve: (connection) => serve(connection, behaviour),
  });
  await listener.listen(address);
  return listener;
}

/** Returns the identity of a light peer. */
export function createIdentity(
  role: Identity["role"],
  instance: string,
  service: string,
): Identity {
  const incarnation = `light-${instance}`;
  return { role, instance, incarnation, availabilityZone: "light", service };
}

async function serve(
  connection: Connection,
  { greet, react }: LightBehaviour,
): Promise<void> {
  greet?.(connection);
  for await (const message of connection.messages) react?.(connection, message);
}

function createOwner(): ConnectionOwner {
  return {
    clock: systemClock,
    traffic: new Traffic(),
    configurationVersion: () => 0,
  };
}
