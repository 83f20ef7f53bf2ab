/** An engine without a network that prefills prompts one after the other. */

import {
  AdmissionController,
  type PermitReceiver,
} from "../../src/admission/mod.ts";
import type { Engine } from "../../src/routing/mod.ts";
import type { PromptPart } from "../../src/scheduling/mod.ts";
import { PredictedCache } from "../../src/scheduling/predicted_cache.ts";
import type { ManualClock } from "../support/manual_clock.ts";

const DECODE_MS = 300;

/** What distinguishes a played engine. */
export interface PlayedEngineOptions {
  readonly clock: ManualClock;
  readonly id: string;
  readonly engine: Engine;
  /** Rate that its controller expects at first. */
  readonly tokensPerMs: number;
  /** Speed relative to `tokensPerMs`; 1 if absent. */
  readonly speed?: number;
}

/** A request that its engine's controller has permitted. */
export interface PermittedRun {
  readonly receiver: PermitReceiver;
  readonly ask: number;
  readonly parts: readonly PromptPart[];
  /** Tokens to prefill. */
  readonly tokens: number;
}

/** An engine with its admission controller; call `advance` after each step. */
export class PlayedEngine {
  readonly controller: AdmissionController;
  readonly cache: PredictedCache;
  readonly #options: PlayedEngineOptions;
  readonly #events: { atMs: number; run: () => void }[] = [];
  #freeAtMs = 0;

  constructor(options: PlayedEngineOptions) {
    const { clock, id, engine, tokensPerMs } = options;
    const { slots, cacheTokens } = engine;
    this.#options = options;
    this.cache = new PredictedCache(cacheTokens);
    this.controller = new AdmissionController(clock);
    this.controller.configure({
      ...{ type: "engine-terms", version: 1, server: id, startedAtMs: 1 },
      ...{ tokensPerMs, slots, cacheTokens },
    });
  }

  /** Begins a run; returns when its first token comes. */
  begin({ receiver, ask, parts, tokens }: PermittedRun): number {
    const { clock, tokensPerMs, speed = 1 } = this.#options;
    const nowMs = clock.monotonicMs();
    this.cache.note({ parts }, nowMs);
    const firstTokenMs =
      Math.max(nowMs, this.#freeAtMs) + tokens / (tokensPerMs * speed);
    this.#freeAtMs = firstTokenMs;
    const { controller } = this;
    const prefilled = () => controller.markPrefilled(receiver, ask);
    const finished = () => controller.finish(receiver, ask, "served");
    this.#events.push(
      { atMs: firstTokenMs, run: prefilled },
      { atMs: firstTokenMs + DECODE_MS, run: finished },
    );
    return firstTokenMs;
  }

  /** Ends what is due, and admits requests to what is free. */
  advance(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const event of this.#events.filter(({ atMs }) => atMs <= nowMs)) {
      this.#events.splice(this.#events.indexOf(event), 1);
      event.run();
    }
    this.controller.admitQueued();
  }
}
