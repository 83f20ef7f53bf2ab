/** Spreads the configuration between peers: whoever is behind asks. */

import type { Message } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { ActiveConfiguration } from "./active.ts";

/** Handles a message if it belongs to the spread; returns whether it did. */
export function handle(
  active: ActiveConfiguration,
  connection: Connection,
  message: Message,
): boolean {
  switch (message.type) {
    case "heartbeat":
      if (message.configurationVersion > active.version) {
        connection.send({ type: "configuration-request" });
      }
      return true;
    case "configuration-request":
      if (active.version > 0) {
        const { version, text } = active;
        connection.send({ type: "configuration", version, text });
      }
      return true;
    case "configuration":
      active.adopt(message.version, message.text);
      return true;
    default:
      return false;
  }
}
