/** Converts notices between memory and messages. */

import type { ServerNoticeReport } from "../protocol/mod.ts";
import type {
  CurrentNotice,
  ServerNotice,
  ServerStart,
} from "./server_notice.ts";

/** Returns the message that reports a notice. */
export function packNotice(
  { id, startedAtMs }: ServerStart,
  notice: ServerNotice,
): ServerNoticeReport {
  return {
    ...{ type: "server-notice", server: id, startedAtMs, notice: notice.type },
    remainingMs: notice.type === "paused" ? notice.forMs : 0,
  };
}

/** Returns the notice in a message. */
export function unpackNotice({
  server,
  startedAtMs,
  notice,
  remainingMs,
}: ServerNoticeReport): CurrentNotice {
  const start = { id: server, startedAtMs };
  switch (notice) {
    case "leaving":
      return { start, notice: { type: "leaving" } };
    case "paused":
      return { start, notice: { type: "paused", forMs: remainingMs } };
    default:
      return notice satisfies never;
  }
}
