/** Guards against load reports whose total cost grows with the fleet. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ReportThrottle } from "../../src/admission/report_throttle.ts";
import { createManualClock } from "../support/manual_clock.ts";

/** Counts the reports that one router gets in ten seconds. */
function countReports(routers: number): number {
  const clock = createManualClock();
  const throttle = new ReportThrottle(clock);
  let reports = 0;
  for (let ms = 0; ms < 10_000; ms += 25) {
    clock.advance(25);
    if (throttle.tryAcquire({ routers })) reports += 1;
  }
  return reports;
}

test("four routers get twenty reports per second each", () => {
  assert.equal(countReports(4), 200);
});

test("the total of sent reports doesn't grow with the routers", () => {
  const sends = (routers: number) => routers * countReports(routers);
  assert.ok(sends(40) <= sends(4), `${sends(40)} of ${sends(4)} sends`);
});

test("a router of a large fleet still gets a report each second", () => {
  assert.equal(countReports(370), 10);
});
