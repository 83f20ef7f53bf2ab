/** Steps in which callers use idempotency keys. */

import assert from "node:assert/strict";
import type { CallRecord } from "../../support/call_record.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** Adds the step definitions. */
export function addKeySteps(steps: StepRegistry<World>): void {
  steps.define(
    "{int} callers send keyed requests of {int} ms through router {int}",
    (world, count: number, workMs: number, router: number) => {
      for (let index = 0; index < count; index += 1) {
        callKeyed(world, `key-${index}`, { workMs, router });
      }
    },
  );
  steps.define(
    "{int} callers send new keyed requests of {int} ms through router {int}",
    (world, count: number, workMs: number, router: number) => {
      for (let index = 0; index < count; index += 1) {
        callKeyed(world, `new-key-${index}`, { workMs, router });
      }
    },
  );
  steps.define(
    "{int} callers repeat their keys for {int} ms through router {int}",
    (world, count: number, workMs: number, router: number) => {
      world.stepValues.set("first repeat", world.calls.length);
      for (let index = 0; index < count; index += 1) {
        callKeyed(world, `key-${index}`, { workMs, router });
      }
    },
  );
  steps.define("the keyed callers have their answers", async (world) => {
    await world.settle();
    const others = world.results.filter(({ type }) => type !== "answered");
    assert.deepEqual(
      others.map(({ code }) => code),
      [],
    );
  });
  steps.define("no key runs twice", async (world) => {
    await world.settle();
    const runs = new Map<string, number>();
    for (const { idempotencyKey } of world.executions()) {
      if (idempotencyKey === "") continue;
      runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
    }
    const twice = [...runs].filter(([, count]) => count > 1);
    assert.deepEqual(twice, []);
    assert.ok(runs.size > 0, "No key ran");
  });
  steps.define("every repeat gets the stored answer", async (world) => {
    await world.settle();
    for (const { result } of repeats(world)) {
      assert.equal(`${result?.type} ${result?.code}`, "answered ");
    }
  });
  steps.define(
    "every repeat gets the stored answer, still running or outcome unknown",
    async (world) => {
      await world.settle();
      const codes = repeats(world).map(({ result }) =>
        result?.type === "answered" ? "answered" : result?.code,
      );
      const allowed = ["answered", "key-in-use", "key-outcome-unknown"];
      assert.deepEqual(
        codes.filter((code) => !allowed.includes(code ?? "")),
        [],
      );
    },
  );
  steps.define("every repeat is refused as not-run", async (world) => {
    await world.settle();
    for (const { result } of repeats(world)) {
      assert.equal(result?.outcome, "not-run");
      assert.equal(result?.code, "arbiter-unavailable");
    }
  });
}

function repeats(world: World): CallRecord[] {
  const found = world.calls
    .slice(world.stepValues.get("first repeat") ?? 0)
    .filter(({ idempotencyKey }) => idempotencyKey !== "");
  assert.ok(found.length > 0, "No keyed call was repeated");
  return found;
}

function callKeyed(
  world: World,
  idempotencyKey: string,
  { workMs, router }: { readonly workMs: number; readonly router: number },
): void {
  const service = world.fleet.plan.services.find(
    ({ type }) => type === "plain",
  );
  world.call({
    service: service?.name ?? "",
    idempotent: false,
    idempotencyKey,
    text: `Body of ${idempotencyKey}`,
    ...{ workMs, router },
  });
}
