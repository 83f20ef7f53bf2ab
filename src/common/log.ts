/** Logs: one short sentence a line, with a fixed prefix per part. */

import loglevel from "loglevel";

/** The names of the parts that log. */
export type Part =
  | "cli"
  | "configuration"
  | "fairness"
  | "link"
  | "platform"
  | "router"
  | "side-process";

/** Severity from which lines are written. */
export type Level = "debug" | "info" | "warn" | "error";

/** Writes lines of one part. */
export type Logger = Record<Level, (sentence: string) => void>;

/** Returns the logger of a part; lines go to standard error. */
export function logger(part: Part): Logger {
  const sink = loglevel.getLogger(part);
  sink.methodFactory = (methodName) => (sentence: string) => {
    const at = new Date().toISOString();
    process.stderr.write(`${at} ${methodName} [${part}] ${sentence}\n`);
  };
  sink.setLevel(loglevel.getLevel());
  return sink;
}

/** Sets the severity from which every part writes. */
export function setLevel(level: Level): void {
  loglevel.setLevel(level, false);
  for (const sink of Object.values(loglevel.getLoggers())) {
    sink.setLevel(level, false);
  }
}
