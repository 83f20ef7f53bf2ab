/** An OS process that a tool or a test has started. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { withTimeout } from "../../src/common/promises.ts";

const ROOT = new URL("../../", import.meta.url);
const STOP_TIMEOUT_MS = 10_000;
/**
 * The flags in the first line of src/main.ts: most garbage is short-lived, so
 * a small young generation is enough.
 */
const NODE_FLAGS = ["--max-semi-space-size=2"];
/** Lines of output that are kept for each process. */
const MAX_LOG_LINES = 400;

/** A child process with the end of its output; signalled by its id only. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #lines: string[] = [];

  private constructor(name: string, child: ChildProcess) {
    this.name = name;
    this.#process = child;
    for (const output of [child.stdout, child.stderr]) {
      output?.setEncoding("utf8").on("data", (text: string) => {
        this.#lines.push(...text.trimEnd().split("\n"));
        this.#lines.splice(0, this.#lines.length - MAX_LOG_LINES);
      });
    }
  }

  /** Starts a script of the build output with Node.js. */
  static start(name: string, script: string, args: readonly string[]): Child {
    const path = fileURLToPath(new URL(script, ROOT));
    const child = spawn(process.execPath, [...NODE_FLAGS, path, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    return new Child(name, child);
  }

  /** Process id; 0 if it could not be started. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Whether it is still running. */
  get running(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Exit code; null while it runs or after a signal. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  /** The last lines of its standard output and standard error. */
  get log(): readonly string[] {
    return this.#lines;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) this.#process.kill(signal);
  }

  /** Resolves once it has ended. */
  async ended(): Promise<void> {
    if (this.running) await once(this.#process, "exit");
  }

  /** Resumes it if it is paused, sends SIGTERM, and kills it after 10 s. */
  async stop(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGTERM");
    const ended = await withTimeout(this.ended(), STOP_TIMEOUT_MS);
    if (ended.type === "value") return;
    this.signal("SIGKILL");
    await this.ended();
  }

  /** Kills it with SIGKILL and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.ended();
  }
}
