/**
 * Plays bursts of prompts at one engine on which streams run, and checks what
 * callers get: while prompts are prefilled one after the other, the streams of
 * the others pause for longer than their callers accept.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AdmissionController,
  type PermitReceiver,
} from "../../src/admission/mod.ts";
import { PrefillPace } from "../../src/cost/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { type SteppedRun, SteppingEngine } from "./stepping_engine.ts";

/** An engine at which an event takes longer than the gap under full prefill. */
const SLOW_TOKENS_PER_MS = 45;
/** An engine at which it doesn't. */
const FAST_TOKENS_PER_MS = 110;
const PROMPT_TOKENS = 3_700;
const OUTPUT_TOKENS = 100;
const GAP_MS = 400;
const OBJECTIVE_MS = 800;
const PLAYED_MS = 20_000;
const STEP_MS = 1;
/** Time in which news of the engine passes a router to the controller. */
const NEWS_MS = 20;
const BURST_INTERVAL_MS = 1_000;

/** How an engine is played. */
interface Load {
  /** Absent for a route that names no pace. */
  readonly eventGapMs?: number;
  readonly tokensPerMs: number;
  /** Share of what the engine can prefill that is asked for. */
  readonly utilization: number;
}

interface Caller extends SteppedRun {
  readonly askedAtMs: number;
}

/** Plays the bursts; returns the callers that were permitted. */
function play({ eventGapMs, tokensPerMs, utilization }: Load) {
  const burstSize =
    (utilization * tokensPerMs * BURST_INTERVAL_MS) / PROMPT_TOKENS;
  const clock = createManualClock();
  const controller = new AdmissionController(clock);
  const engine = new SteppingEngine(tokensPerMs);
  controller.configure({
    ...{ type: "engine-terms", version: 1, server: "e", startedAtMs: 1 },
    ...{ tokensPerMs, slots: 64, cacheTokens: 520_000 },
  });
  const news: { atMs: number; run: () => void }[] = [];
  const later = (run: () => void) =>
    news.push({ atMs: clock.monotonicMs() + NEWS_MS, run });
  const callers: Caller[] = [];
  let asked = 0;
  const ask = () => {
    asked += 1;
    const number = asked;
    const askedAtMs = clock.monotonicMs();
    const receiver: PermitReceiver = {
      permit: (_ask, uncachedTokens) => {
        const caller: Caller = {
          ...{ askedAtMs, eventsAtMs: [], unreadTokens: uncachedTokens },
          ...{ tokensLeft: OUTPUT_TOKENS, tokensMade: 0 },
          onFirstEvent: () =>
            later(() => controller.markPrefilled(receiver, number)),
          onEnd: () =>
            later(() => {
              if (!keepsPace(caller))
                controller.noteMissedPace(receiver, number);
              controller.finish(receiver, number, "served");
            }),
        };
        callers.push(caller);
        engine.add(caller);
      },
    };
    controller.enqueue(receiver, {
      ...{ type: "ask", ask: number, team: "t", elsewhere: 0, cost: 1 },
      parts: [[`own-${number}`, PROMPT_TOKENS]],
      ...{ copiedTokens: 0, outputTokens: OUTPUT_TOKENS },
      ...{ objectiveMs: OBJECTIVE_MS, leftMs: OBJECTIVE_MS },
      ...(eventGapMs === undefined ? {} : { eventGapMs }),
    });
  };
  for (let ms = 0; ms < PLAYED_MS; ms += STEP_MS) {
    const burst = Math.floor(ms / BURST_INTERVAL_MS) + 1;
    while (asked < Math.floor(burst * burstSize)) ask();
    clock.advance(STEP_MS);
    engine.advance(clock.monotonicMs());
    const due = news.filter(({ atMs }) => atMs <= clock.monotonicMs());
    for (const one of due) {
      news.splice(news.indexOf(one), 1);
      one.run();
    }
    controller.admitQueued();
  }
  return { asked, callers, burstSize };
}

/** Whether each event came in time after the one before it. */
function keepsPace({ eventsAtMs }: Caller): boolean {
  return eventsAtMs.every(
    (atMs, index) => atMs - (eventsAtMs[index - 1] ?? atMs) <= GAP_MS,
  );
}

test("streams keep their pace while bursts of prompts are prefilled", () => {
  const { asked, callers, burstSize } = play({
    ...{ eventGapMs: GAP_MS, tokensPerMs: SLOW_TOKENS_PER_MS },
    utilization: 0.8,
  });
  const kept = callers.filter(keepsPace).length;
  const figures = `${kept} of ${callers.length}, ${asked} asked`;
  assert.ok(kept >= callers.length * 0.95, figures);
  // It costs hardly any throughput: all but the last burst were admitted.
  assert.ok(callers.length >= asked - burstSize, figures);
});

test("an engine that keeps the pace by itself prefills as much as without one", () => {
  const load = { tokensPerMs: FAST_TOKENS_PER_MS, utilization: 1.5 };
  const paced = play({ ...load, eventGapMs: GAP_MS }).callers;
  const free = play(load).callers;
  const figures = `${paced.length} of ${free.length}`;
  assert.ok(paced.length >= free.length * 0.95, figures);
});

test("prompts aren't held back where routes name no pace", () => {
  const { asked, callers, burstSize } = play({
    ...{ tokensPerMs: SLOW_TOKENS_PER_MS, utilization: 0.8 },
  });
  assert.ok(callers.length >= asked - burstSize, `${callers.length}`);
});

test("stretches become shorter while over 5 in 100 streams miss their pace", () => {
  const pace = new PrefillPace();
  const before = pace.stretchShare;
  const serve = (missed: boolean) => {
    const stream = {};
    pace.addStream(stream, GAP_MS);
    if (missed) pace.noteMissed(stream);
    pace.noteServed(stream);
    pace.remove(stream);
  };
  for (let index = 0; index < 40; index += 1) serve(index % 10 === 0);
  const after = pace.stretchShare;
  assert.ok(after < before, `${after}`);
  for (let index = 0; index < 80; index += 1) serve(index % 40 === 0);
  assert.ok(pace.stretchShare > after, `${pace.stretchShare}`);
});
