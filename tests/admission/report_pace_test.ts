/** What reports cost while a fleet grows. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ReportPace } from "../../src/admission/report_pace.ts";
import { createClock } from "../support/manual_clock.ts";

/** Reports that one router gets in ten seconds. */
function countReports(routers: number): number {
  const clock = createClock();
  const pace = new ReportPace(clock);
  let reports = 0;
  for (let ms = 0; ms < 10_000; ms += 25) {
    clock.pass(25);
    if (pace.takeDue({ routers })) reports += 1;
  }
  return reports;
}

test("four routers hear twenty times a second", () => {
  assert.equal(countReports(4), 200);
});

test("a gate's sends don't grow with its routers", () => {
  const sends = (routers: number) => routers * countReports(routers);
  assert.ok(sends(40) <= sends(4), `${sends(40)} of ${sends(4)} sends`);
});

test("a router of a large fleet still hears each second", () => {
  assert.equal(countReports(370), 10);
});
