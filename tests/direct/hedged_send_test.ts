/** Decisions of a hedged send, on sends that a test ends step by step. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { EventLog } from "../../src/common/event_log.ts";
import {
  HedgedSend,
  type HedgedSendDependencies,
  type SendListener,
} from "../../src/direct/hedged_send.ts";
import type { SendEnd, ServerSend } from "../../src/direct/server_send.ts";
import type { Decision, Placement } from "../../src/scheduling/mod.ts";
import { createServer } from "../support/servers.ts";

const COMPLETE: SendEnd = { type: "complete", status: 200 };

class FakeSend {
  readonly placement: Placement;
  readonly listener: SendListener;
  readonly ended: Promise<SendEnd>;
  end: (end: SendEnd) => void = () => undefined;
  restarts = 0;

  constructor(placement: Placement, listener: SendListener) {
    this.placement = placement;
    this.listener = listener;
    this.ended = new Promise((resolve) => {
      this.end = resolve;
    });
  }

  restartSilenceTimer(): void {
    this.restarts += 1;
  }

  abandon(): void {
    this.end({ type: "abandoned" });
  }
}

function createPlacement(id: string): Placement {
  const options = { id, host: "127.0.0.1", port: 1, slots: 8, startedAtMs: 0 };
  return {
    ...{ type: "placed", server: createServer(options), uncachedTokens: 0 },
    ...{
      source: null,
      isOpen: () => true,
      noteMissedPace: () => {},
      noteFirstToken: () => {},
      release: () => {},
    },
    noteRequestLimit: () => false,
  };
}

function createHedgedSend(overrides: Partial<HedgedSendDependencies> = {}) {
  const sends: FakeSend[] = [];
  const ends: string[] = [];
  const sink = (_text: string, done: (error: null) => void) => done(null);
  const hedged = new HedgedSend({
    ...{ events: new EventLog("test", sink), requestId: "id" },
    mayHedge: () => true,
    place: async () => createPlacement(`s${sends.length + 1}`),
    start: (placement, { listener }) => {
      const send = new FakeSend(placement, listener);
      sends.push(send);
      return send as unknown as ServerSend;
    },
    onEnd: ({ server }, { type }) => ends.push(`${server.id} ${type}`),
    onTakeover: () => {},
    ...overrides,
  });
  return { hedged, sends, ends };
}

test("a request that was quarantined during the search isn't sent again", async () => {
  let isQuarantined = false;
  const { hedged, sends } = createHedgedSend({
    mayHedge: () => !isQuarantined,
    place: async () => {
      isQuarantined = true;
      return createPlacement("s2");
    },
  });
  const ended = hedged.run(createPlacement("s1"));
  sends[0]?.listener.onSilence();
  await nextTurn();
  assert.equal(sends.length, 1);
  sends[0]?.end(COMPLETE);
  await ended;
});

test("a defect in the search for another server doesn't end the process", async () => {
  const rejections: unknown[] = [];
  const listeners = process.listeners("unhandledRejection");
  process.removeAllListeners("unhandledRejection");
  process.on("unhandledRejection", (reason) => rejections.push(reason));
  const { hedged, sends } = createHedgedSend({
    place: (): Promise<Decision> => Promise.reject(new Error("defect")),
  });
  const ended = hedged.run(createPlacement("s1"));
  sends[0]?.listener.onSilence();
  await nextTurn();
  await nextTurn();
  sends[0]?.end(COMPLETE);
  await ended.catch(() => undefined);
  process.removeAllListeners("unhandledRejection");
  for (const listener of listeners) process.on("unhandledRejection", listener);
  assert.deepEqual(rejections, []);
});

test("the end of each send is reported once", async () => {
  const { hedged, sends, ends } = createHedgedSend();
  const ended = hedged.run(createPlacement("s1"));
  for (const index of [0, 1]) {
    sends[index]?.listener.onSilence();
    await nextTurn();
    sends[index + 1]?.listener.onClaim();
    await nextTurn();
  }
  sends[2]?.end(COMPLETE);
  await ended;
  assert.deepEqual(ends, ["s1 abandoned", "s2 abandoned", "s3 complete"]);
});
