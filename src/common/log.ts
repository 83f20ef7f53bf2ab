/**
 * Loggers for free text. Parts write structured lines to standard output; the
 * command line (`cli`) writes plain text to standard error instead.
 */

import loglevel from "loglevel";
import { EventLog } from "./event_log.ts";

/** Parts of the system that log free text. */
export type Part =
  | "cli"
  | "configuration"
  | "fairness"
  | "link"
  | "platform"
  | "router"
  | "side-process";

/** Severity of a line, or the lowest severity that is written. */
export type Level = "debug" | "info" | "warn" | "error";

/** Logger of one part, with a method per severity. */
export type Logger = Record<Level, (sentence: string) => void>;

const eventLogs = new Map<Part, EventLog>();

/** Returns the logger of a part. */
export function logger(part: Part): Logger {
  const backend = loglevel.getLogger(part);
  backend.methodFactory = (methodName) => (message: string) => {
    if (part === "cli") writeToStandardError(methodName, message);
    else eventLogOf(part).write(methodName as Level, message);
  };
  backend.setLevel(loglevel.getLevel());
  return backend;
}

/** Writes all buffered lines; call it before the process exits. */
export async function flush(): Promise<void> {
  await Promise.all([...eventLogs.values()].map((log) => log.flush()));
}

function eventLogOf(part: Part): EventLog {
  const known = eventLogs.get(part);
  if (known !== undefined) return known;
  const log = new EventLog(part);
  eventLogs.set(part, log);
  return log;
}

function writeToStandardError(severity: string, message: string): void {
  const at = new Date().toISOString();
  process.stderr.write(`${at} ${severity} [cli] ${message}\n`);
}

/** Sets the lowest severity that is written, for all parts. */
export function setLevel(level: Level): void {
  loglevel.setLevel(level, false);
  for (const backend of Object.values(loglevel.getLoggers())) {
    backend.setLevel(level, false);
  }
}
