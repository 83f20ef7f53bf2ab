/** The pace of running streams after a loss of what is known of them. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AdmissionController,
  type PermitReceiver,
} from "../../src/admission/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

const TOKENS_PER_MS = 40;
const GAP_MS = 400;
/** One fits into a stretch of prefill beside a stream, two don't. */
const PROMPT_TOKENS = 8_000;

/** A router that records which of its requests were permitted. */
class Router implements PermitReceiver {
  readonly permitted: number[] = [];

  permit(ask: number): void {
    this.permitted.push(ask);
  }
}

/** Returns a controller that has just started. */
function startController() {
  const controller = new AdmissionController(createManualClock());
  controller.configure({
    ...{ type: "engine-terms", version: 1, server: "e", startedAtMs: 1 },
    ...{ tokensPerMs: TOKENS_PER_MS, slots: 64, cacheTokens: 500_000 },
  });
  return controller;
}

/** Reports a stream that runs since before the controller started. */
function reportStream(controller: AdmissionController, router: Router): void {
  controller.addRunning(router, {
    ...{ type: "held", ask: 100, team: "t", parts: [["own", 1_000]] },
    ...{ outputTokens: 100, begun: true, eventGapMs: GAP_MS },
  });
}

function ask(controller: AdmissionController, router: Router, number: number) {
  controller.enqueue(router, {
    ...{ type: "ask", ask: number, team: "t", elsewhere: 0, cost: 1 },
    parts: [[`own-${number}`, PROMPT_TOKENS]],
    ...{ copiedTokens: 0, outputTokens: 100, eventGapMs: GAP_MS },
    ...{ objectiveMs: 2_000, leftMs: 2_000 },
  });
}

test("streams keep their pace after a restart of the controller", () => {
  const controller = startController();
  const router = new Router();
  reportStream(controller, router);
  ask(controller, router, 1);
  ask(controller, router, 2);
  assert.deepEqual(router.permitted, [1]);
  controller.markPrefilled(router, 1);
  assert.deepEqual(router.permitted, [1, 2]);
});

test("streams of a router that is lost hold no prompts back", () => {
  const controller = startController();
  const lost = new Router();
  const router = new Router();
  reportStream(controller, lost);
  ask(controller, router, 1);
  ask(controller, router, 2);
  assert.deepEqual(router.permitted, [1]);
  controller.removeRouter(lost);
  assert.deepEqual(router.permitted, [1, 2]);
});

test("a prompt whose first token is never reported holds others back until it ends", () => {
  const controller = startController();
  const router = new Router();
  reportStream(controller, router);
  ask(controller, router, 1);
  ask(controller, router, 2);
  controller.finish(router, 1, "neutral");
  assert.deepEqual(router.permitted, [1, 2]);
});
