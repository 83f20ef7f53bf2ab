/**
 * Plays a load of several times what a cold engine may get, at one admission
 * controller and at routers that can't reach it, and counts what is sent in any
 * one second.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AdmissionController,
  type PermitReceiver,
} from "../../src/admission/mod.ts";
import { ServerNotices } from "../../src/directory/mod.ts";
import { ColdShare } from "../../src/scheduling/cold_share.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";

const ROUTERS = 30;
const TOLERATED_PER_S = 9.1;
const BOUNDS = { overshoot: 1.5, slack: 5 };
/** The users' rule, for one second. */
const ALLOWED = TOLERATED_PER_S * BOUNDS.overshoot + BOUNDS.slack;
const DURATION_MS = 3_000;
const STEP_MS = 10;
/** Requests per step that ask the controller: five times the bound. */
const ASKS_PER_STEP = 1;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

const TERMS = {
  ...{ durationMs: DURATION_MS, requestsPerS: TOLERATED_PER_S },
  ...{ remainingMs: 0, routers: ROUTERS },
};

function configure(
  controller: AdmissionController,
  change: { startedAtMs?: number; remainingMs?: number } = {},
): void {
  const { startedAtMs = 1, remainingMs = 0 } = change;
  controller.configure({
    ...{ type: "engine-terms", version: 1, server: "e1", startedAtMs },
    ...{ slots: 500, cacheTokens: 10_000_000, tokensPerMs: 100_000 },
    coldTerms: { ...TERMS, remainingMs },
  });
}

/** Random numbers of a seed, 0 to 1 (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Runs with the random numbers of a seed, which phases are drawn from. */
function withSeed(seed: number, run: (random: () => number) => void): void {
  const before = Math.random;
  const random = createRandom(seed);
  Math.random = random;
  try {
    run(random);
  } finally {
    Math.random = before;
  }
}

/** One engine with its controller, and routers that send without permits. */
class Play implements PermitReceiver {
  readonly clock: ManualClock = createManualClock();
  readonly sentAtMs: number[] = [];
  controller = this.#createController();
  readonly #random: () => number;
  readonly #maxDelayMs: number;
  readonly #waiting = new Set<number>();
  readonly #onTheWay: { ask: number; atMs: number }[] = [];
  readonly #shares: ColdShare[];
  #lastAsk = 0;
  /** Routers without a connection. */
  cutOff: number;

  constructor(
    random: () => number,
    { cutOff = 0, maxDelayMs = 0 }: { cutOff?: number; maxDelayMs?: number },
  ) {
    this.#random = random;
    this.#maxDelayMs = maxDelayMs;
    this.cutOff = cutOff;
    this.#shares = Array.from({ length: ROUTERS }, () => this.createShare());
  }

  /** Returns the slots of a router that knows of a number of routers. */
  createShare(routers = ROUTERS): ColdShare {
    return new ColdShare({
      ...{ clock: this.clock, share: () => 1 / routers },
      toleratedPerS: () => TOLERATED_PER_S,
    });
  }

  restartController(): void {
    this.#waiting.clear();
    this.controller = this.#createController();
    configure(this.controller);
  }

  /** A router sends its request some time after the permit was issued. */
  permit(ask: number): void {
    const delayMs = this.#random() * this.#maxDelayMs;
    this.#waiting.delete(ask);
    this.#onTheWay.push({ ask, atMs: this.clock.monotonicMs() + delayMs });
  }

  /** Plays some time; requests wait at the controller unless it is lost. */
  run(ms: number, { controllerLost = false } = {}): void {
    const routers = { connected: ROUTERS - this.cutOff, known: ROUTERS };
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs) {
      this.clock.advance(STEP_MS);
      if (!controllerLost && this.cutOff < ROUTERS) {
        this.controller.coldGuard.setRouters(routers);
        this.#ask();
      }
      const cutOff = controllerLost ? ROUTERS : this.cutOff;
      for (const router of this.#shares.slice(0, cutOff))
        this.sendWithoutPermit(router);
      this.#send();
    }
  }

  /** Sends what a router's slots allow. */
  sendWithoutPermit(router: ColdShare): void {
    while (router.delayMs === 0) {
      router.spend();
      this.sentAtMs.push(this.clock.monotonicMs());
    }
  }

  /** Most requests in any one second. */
  get most(): number {
    const counts = this.sentAtMs.map(
      (startMs) =>
        this.sentAtMs.filter((ms) => ms >= startMs && ms < startMs + 1_000)
          .length,
    );
    return Math.max(0, ...counts);
  }

  #createController(): AdmissionController {
    const notices = new ServerNotices(this.clock);
    return new AdmissionController(this.clock, notices, { coldBounds: BOUNDS });
  }

  /** Some hundred requests wait, so that every permit finds one. */
  #ask(): void {
    for (let count = 0; count < ASKS_PER_STEP; count += 1) {
      if (this.#waiting.size > 200) break;
      this.#lastAsk += 1;
      this.#waiting.add(this.#lastAsk);
      this.controller.enqueue(this, {
        ...{ type: "ask", ask: this.#lastAsk, team: "a", elsewhere: 0 },
        ...{ cost: 10, parts: [[`p${this.#lastAsk}`, 10]], copiedTokens: 0 },
        ...{ outputTokens: 1, objectiveMs: 1_000, leftMs: 1_000 },
      });
    }
    this.controller.admitQueued();
  }

  #send(): void {
    const nowMs = this.clock.monotonicMs();
    for (const sent of this.#onTheWay.filter(({ atMs }) => atMs <= nowMs)) {
      this.#onTheWay.splice(this.#onTheWay.indexOf(sent), 1);
      this.sentAtMs.push(sent.atMs);
      this.controller.finish(this, sent.ask, "served");
    }
  }
}

for (const cutOff of [0, 1, 10, 20, 29, 30])
  test(`a cold engine's bound is kept with ${cutOff} of 30 routers cut off`, () => {
    for (const seed of SEEDS)
      withSeed(seed, (random) => {
        const play = new Play(random, { cutOff, maxDelayMs: 90 });
        configure(play.controller);
        // Warm first: that it has turned cold isn't known anywhere yet.
        play.run(6_000);
        configure(play.controller, { remainingMs: DURATION_MS });
        play.run(6_000);
        const message = `${play.most} of ${ALLOWED}, seed ${seed}`;
        assert.ok(play.most <= ALLOWED, message);
      });
  });

test("what a warm engine's bound allows is used", () => {
  withSeed(1, (random) => {
    const play = new Play(random, {});
    configure(play.controller);
    play.run(2_000);
    const before = play.sentAtMs.length;
    play.run(10_000);
    const perS = (play.sentAtMs.length - before) / 10;
    assert.ok(perS > ALLOWED * 0.85, `${perS} a second`);
  });
});

test("an engine that turns cold in the middle of its ramp is paced anew", () => {
  withSeed(1, (random) => {
    const play = new Play(random, {});
    configure(play.controller);
    play.run(4_000);
    configure(play.controller, { remainingMs: DURATION_MS });
    play.run(2_000);
    // An end that is earlier than the known one is an older word.
    configure(play.controller, { remainingMs: 10 });
    assert.ok(play.controller.coldGuard.remainingMs > 900);
    configure(play.controller, { remainingMs: DURATION_MS });
    const before = play.sentAtMs.length;
    play.run(DURATION_MS - STEP_MS);
    const sent = play.sentAtMs.length - before;
    assert.ok(sent <= TOLERATED_PER_S * 3 + 3, `${sent} in 3 s`);
    assert.ok(sent >= TOLERATED_PER_S * 3 - 3, `${sent} in 3 s`);
    play.clock.advance(STEP_MS);
    assert.equal(play.controller.coldGuard.remainingMs, 0);
    assert.ok(play.most <= ALLOWED);
  });
});

test("a new start of the engine makes it cold", () => {
  withSeed(1, (random) => {
    const play = new Play(random, {});
    configure(play.controller);
    play.run(4_000);
    assert.equal(play.controller.coldGuard.remainingMs, 0);
    configure(play.controller, { startedAtMs: 2 });
    const { coldPace, freeSlots } = play.controller.load;
    assert.equal(coldPace?.remainingMs, DURATION_MS);
    assert.equal(coldPace?.requestsPerS, TOLERATED_PER_S);
    assert.ok(freeSlots <= 1);
  });
});

test("the bound is kept while the controller of a cold engine is lost and back", () => {
  for (const seed of SEEDS)
    withSeed(seed, (random) => {
      const play = new Play(random, {});
      configure(play.controller);
      play.run(4_000);
      configure(play.controller, { remainingMs: DURATION_MS });
      play.run(1_000);
      play.run(1_200, { controllerLost: true });
      play.restartController();
      play.run(3_000);
      assert.ok(play.most <= ALLOWED, `${play.most}, seed ${seed}`);
    });
});

test("a router that starts without knowing the others sends next to nothing", () => {
  withSeed(1, (random) => {
    const play = new Play(random, {});
    configure(play.controller, { remainingMs: DURATION_MS });
    const started = play.createShare(100);
    const before = play.sentAtMs.length;
    for (let ms = 0; ms < 3_000; ms += STEP_MS) {
      play.clock.advance(STEP_MS);
      play.sendWithoutPermit(started);
    }
    assert.ok(play.sentAtMs.length - before <= 1);
  });
});

test("an engine without a cold rate is bounded in nothing", () => {
  const clock = createManualClock();
  const notices = new ServerNotices(clock);
  const controller = new AdmissionController(clock, notices, {
    coldBounds: BOUNDS,
  });
  const permits: number[] = [];
  const router = { permit: (ask: number) => permits.push(ask) };
  const engine = { slots: 500, cacheTokens: 1e7, tokensPerMs: 100_000 };
  const start = { server: "e1", startedAtMs: 1 };
  controller.configure({
    ...{ type: "engine-terms", version: 1, ...start, ...engine },
  });
  for (let ask = 1; ask <= 100; ask += 1)
    controller.enqueue(router, {
      ...{ type: "ask", ask, team: "a", elsewhere: 0, cost: 10 },
      ...{ parts: [[`p${ask}`, 10]], copiedTokens: 0, outputTokens: 1 },
      ...{ objectiveMs: 1_000, leftMs: 1_000 },
    });
  assert.equal(permits.length, 100);
  assert.equal("coldPace" in controller.load, false);
});
