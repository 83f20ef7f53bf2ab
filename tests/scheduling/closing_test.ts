/** Requests that wait while their router shuts down. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerNotices } from "../../src/directory/mod.ts";
import { Scheduler } from "../../src/scheduling/mod.ts";
import { createServer } from "../support/servers.ts";
import { createDemand } from "./demands.ts";

const NEVER = new AbortController().signal;

/** Returns a scheduler whose only server has no room, at a fixed time. */
async function createFullScheduler(): Promise<Scheduler> {
  const clock = { monotonicMs: () => 1_000, wallMs: () => 1_000 };
  const scheduler = new Scheduler({
    clock,
    notices: new ServerNotices(clock),
    availabilityZone: "a",
    admissionOf: () => null,
    shareRequestLimit: () => {},
  });
  const server = createServer({ id: "s1", service: "chat", slots: 4 });
  scheduler.apply({ type: "joined", server });
  const first = await scheduler.place(createDemand(), NEVER);
  assert.equal(first.type, "placed");
  return scheduler;
}

test("a request that can't be served before connections close is refused at once", async () => {
  const scheduler = await createFullScheduler();
  const hasTime = scheduler.place(createDemand({ objectiveMs: 1_000 }), NEVER);
  const hasNone = scheduler.place(createDemand({ objectiveMs: 3_000 }), NEVER);
  assert.equal(scheduler.waiting, 2);
  scheduler.drain(2_000);
  const refused = await hasNone;
  assert.ok(refused.type === "refused");
  assert.equal(refused.reason, "stopping");
  assert.equal(scheduler.waiting, 1);
  scheduler.close();
  assert.equal((await hasTime).type, "refused");
});

test("a request that arrives after the end of the shutdown is refused", async () => {
  const scheduler = await createFullScheduler();
  scheduler.close();
  const decision = await scheduler.place(createDemand(), NEVER);
  assert.ok(decision.type === "refused");
  assert.equal(decision.reason, "stopping");
});
