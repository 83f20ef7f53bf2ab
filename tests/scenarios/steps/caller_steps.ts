/** Steps in which callers send requests. */

import { until } from "../../../tools/fleet/until.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

const RUN_TIMEOUT_MS = 20_000;

/** Adds the step definitions. */
export function addCallerSteps(steps: StepRegistry<World>): void {
  steps.define(
    "{int} caller(s) send(s) streams of {int} tokens",
    (world, count: number, tokens: number) => {
      repeat(count, () => world.call({ tokens }));
    },
  );
  steps.define(
    "{int} caller(s) ask(s) for whole answers of {int} tokens",
    (world, count: number, tokens: number) => {
      repeat(count, () => world.call({ tokens, stream: false }));
    },
  );
  steps.define(
    "{int} caller(s) send(s) non-idempotent requests of {int} ms",
    (world, count: number, workMs: number) => {
      repeat(count, () => world.call({ ...plainRequest(world), workMs }));
    },
  );
  steps.define(
    "{int} caller(s) send(s) non-idempotent streams of {int} tokens",
    (world, count: number, tokens: number) => {
      repeat(count, () => world.call({ tokens, idempotent: false }));
    },
  );
  steps.define(
    "callers keep sending streams of {int} tokens, {int} at a time",
    (world, tokens: number, concurrency: number) => {
      world.keepSending(concurrency, { tokens });
    },
  );
  steps.define(
    "callers keep sending non-idempotent requests of {int} ms, {int} at a time",
    (world, workMs: number, concurrency: number) => {
      world.keepSending(concurrency, { ...plainRequest(world), workMs });
    },
  );
  steps.define(
    "{int} callers send streams of {int} tokens with a deadline of {int} ms",
    (world, count: number, tokens: number, deadlineMs: number) => {
      const headers = { "oriole-deadline-ms": String(deadlineMs) };
      const disconnect = new AbortController();
      world.onClose(() => disconnect.abort());
      const { signal } = disconnect;
      repeat(count, () => world.call({ tokens, headers, signal }));
    },
  );
  steps.define(
    "within {int} s every run at the backend servers has ended",
    async (world, seconds: number) => {
      await until("every run has ended", seconds * 1_000, {
        holds: async () => (await countUnfinishedRuns(world)) === 0,
      });
    },
  );
  steps.define("the callers stop", async (world) => {
    await world.stopSending();
  });
  steps.define("every call ends", async (world) => {
    await world.settle();
  });
  steps.define("{int} request(s) run", async (world, count: number) => {
    await until(`${count} requests run`, RUN_TIMEOUT_MS, {
      holds: () => world.executions().length >= count,
    });
  });
  steps.define("{int} more requests run", async (world, count: number) => {
    const before = world.executions().length;
    await until(`${count} more requests run`, RUN_TIMEOUT_MS, {
      holds: () => world.executions().length >= before + count,
    });
  });
}

async function countUnfinishedRuns(world: World): Promise<number> {
  const lists = await Promise.all(
    world.fleet.backends.map(async ({ url }) => {
      const response = await fetch(`${url}/executions`);
      return (await response.json()) as { finishedAt: number | null }[];
    }),
  );
  return lists.flat().filter(({ finishedAt }) => finishedAt === null).length;
}

function plainRequest(world: World): { service: string; idempotent: false } {
  const service = world.fleet.plan.services.find(
    ({ type }) => type === "plain",
  );
  return { service: service?.name ?? "", idempotent: false };
}

function repeat(count: number, action: () => void): void {
  for (let index = 0; index < count; index += 1) action();
}
