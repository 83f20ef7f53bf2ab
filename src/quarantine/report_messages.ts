/** Splits reports of crashes into messages whose lists their schemas take. */

import type {
  CrashReport,
  SoundReport,
  SuspectRequest,
} from "../protocol/mod.ts";

/** Longest list in a message, and most suspects in one. */
const MESSAGE_LIMIT = 256;

/** Returns messages that say together what a report says, in any order. */
export function messagesOf(
  report: CrashReport | SoundReport,
): (CrashReport | SoundReport)[] {
  switch (report.type) {
    case "crash-report":
      return crashMessagesOf(report);
    case "sound-report":
      return slices(report.suspects).map((suspects) => ({
        ...report,
        suspects,
      }));
    default:
      return report satisfies never;
  }
}

/** Returns messages that say together what the report of a crash says. */
export function crashMessagesOf(report: CrashReport): CrashReport[] {
  const requests = batches(report.requests);
  const cleared = slices(report.cleared);
  const count = Math.max(requests.length, cleared.length);
  return Array.from({ length: count }, (_, index) => ({
    ...report,
    requests: requests[index] ?? [],
    cleared: cleared[index] ?? [],
  }));
}

/** Batches of requests; one with many parts comes in several of them. */
function batches(requests: readonly SuspectRequest[]): SuspectRequest[][] {
  const all: SuspectRequest[][] = [];
  let room = 0;
  for (const [fingerprint, parts] of requests) {
    const pieces = parts.length === 0 ? [[]] : slices(parts);
    for (const piece of pieces) {
      // The request is a suspect, too.
      const needed = piece.length + 1;
      if (needed > room) {
        all.push([]);
        room = MESSAGE_LIMIT + 1;
      }
      all.at(-1)?.push([fingerprint, piece]);
      room -= needed;
    }
  }
  return all;
}

function slices<Item>(items: readonly Item[]): Item[][] {
  const all: Item[][] = [];
  for (let start = 0; start < items.length; start += MESSAGE_LIMIT)
    all.push(items.slice(start, start + MESSAGE_LIMIT));
  return all;
}
