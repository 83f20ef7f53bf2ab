/** Exceptions that nothing catches, in a listener of a running program. */

import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, test } from "node:test";
import {
  call,
  eventsOf,
  ProgramFleet,
  respondWith,
  terminate,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

let fleet: ProgramFleet;

afterEach(() => fleet.close());

// Guards against one faulty listener that ends the requests of all callers.
test("an exception in a listener ends no program", async () => {
  const folder = await mkdtemp(join(tmpdir(), "defect-"));
  const path = join(folder, "throw_on_signal.cjs");
  const script =
    'process.on("SIGUSR2", () => { throw new Error("in a listener"); });\n' +
    'process.on("SIGWINCH", () => { Promise.reject(new Error("in a task")); });';
  await writeFile(path, script);
  const nodeFlags = ["--require", path];
  const routes = [createWireRoute({ kind: "idempotent" })];
  const configuration = createWireConfiguration({ routes });
  fleet = await ProgramFleet.start({ configuration });
  await fleet.addServer(respondWith(), { service: "m" });
  const admission = await fleet.startAdmission({ nodeFlags });
  const router = await fleet.startRouter({ nodeFlags });
  await rm(folder, { recursive: true });
  for (const program of [router, admission]) {
    program.process.kill("SIGUSR2");
    await waitForEvent(program, "defect");
    program.process.kill("SIGWINCH");
    assert.equal(eventsOf(program, "defect")[0]?.message, "in a listener");
  }
  assert.equal((await call(router)).status, 200);
  for (const program of [router, admission])
    assert.deepEqual(await terminate(program), [0, null]);
});
