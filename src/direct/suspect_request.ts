/** One request as a possible cause of crashes. */

import {
  type CrashCause,
  fingerprintOf,
  partSuspect,
  requestSuspect,
  SUSPECTS_LIMIT,
} from "../quarantine/mod.ts";
import { type Prompt, sharedParts } from "../scheduling/mod.ts";
import type { BrokenRequest } from "./crash_detector.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { ResponseProgress } from "./response_progress.ts";
import type { SendEnd } from "./server_send.ts";

/** What a request consists of. */
export interface RequestContent {
  readonly team: string | null;
  readonly path: string;
  readonly body: Buffer;
  readonly prompt: Prompt | null;
}

/** Tells the crash guard how the sends of a request end. */
export class SuspectRequest {
  readonly #guard: CrashGuard;
  readonly #content: RequestContent;
  readonly #parts: readonly string[];
  #fingerprint: string | null = null;
  #partSuspects: readonly string[] | null = null;

  constructor(guard: CrashGuard, content: RequestContent) {
    this.#guard = guard;
    this.#content = content;
    this.#parts = sharedParts(content.prompt?.parts ?? [])
      .slice(0, SUSPECTS_LIMIT)
      .map(({ id }) => id);
  }

  /** The same for all repeats of the request. */
  get fingerprint(): string {
    const { team, path, body } = this.#content;
    this.#fingerprint ??= fingerprintOf({ team: team ?? "", path, body });
    return this.#fingerprint;
  }

  /** Returns the cause of crashes for which it is refused now, if any. */
  refusal(): CrashCause | null {
    if (this.#guard.suspects === 0) return null;
    return this.#guard.refusal(this.#suspects(), this);
  }

  /** Records data of a response. */
  recordData(progress: ResponseProgress): void {
    if (progress.recordData()) this.#guard.recordSound(this.#suspectedParts);
  }

  /** Records the end of a send. */
  recordEnd(result: SendEnd, progress: ResponseProgress): void {
    if (result.type === "complete" && isSuccess(result.status)) {
      // An empty response may be one that a crash has cut off.
      if (progress.hasData) this.#recordComplete();
    }
    this.end();
  }

  #recordComplete(): void {
    const hasStrikes = this.#guard.suspects > 0;
    const sound = hasStrikes ? this.#suspects() : this.#suspectedParts;
    this.#guard.recordSound(sound);
  }

  /** Ends its trial if it was let through as one. */
  end(): void {
    this.#guard.endTrial(this);
  }

  /** Returns what a broken response says against it. */
  brokenRequest({ wentOn }: ResponseProgress): BrokenRequest {
    const parts = wentOn ? [] : this.#parts;
    return { fingerprint: this.fingerprint, parts };
  }

  /** Made once: a long prompt has a thousand of them. */
  get #suspectedParts(): readonly string[] {
    this.#partSuspects ??= this.#parts.map(partSuspect);
    return this.#partSuspects;
  }

  #suspects(): string[] {
    return [requestSuspect(this.fingerprint), ...this.#suspectedParts];
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
