/** Steps of a caller that reads a long answer slowly. */

import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { type IncomingMessage, request } from "node:http";
import { sleep } from "../../../src/common/signal.ts";
import {
  hashOfLongAnswer,
  type Progress,
} from "../../../stand_ins/plain_service/long_answer.ts";
import type { Fleet } from "../../../tools/fleet/fleet.ts";
import { until } from "../../../tools/fleet/until.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

const MEGABYTE = 1024 * 1024;
/** Without a byte for so long, the writer counts as held back. */
const STILL_MS = 1_000;
const STOP_TIMEOUT_MS = 20_000;

const answers = new WeakMap<World, IncomingMessage>();

/** Adds the steps. */
export function addBackPressureSteps(steps: StepRegistry<World>): void {
  steps.define(
    "a caller asks for an answer of {int} MB and stops reading",
    async (world, megabytes: number) => {
      const sizeBytes = megabytes * MEGABYTE;
      world.notes.set("answer bytes", sizeBytes);
      answers.set(world, await ask(world, sizeBytes));
    },
  );
  steps.define(
    "the backend server stops writing before {int} MB",
    async (world, megabytes: number) => {
      await until("the backend server stops writing", STOP_TIMEOUT_MS, {
        holds: async () => {
          const before = await written(world);
          await sleep(STILL_MS);
          return before > 0 && (await written(world)) === before;
        },
      });
      const bytes = await written(world);
      assert.ok(bytes < megabytes * MEGABYTE, `It wrote ${bytes} bytes`);
    },
  );
  steps.define(
    "the other callers of {int} streams have their answers",
    async (world, count: number) => {
      const calls = Array.from({ length: count }, () => world.call({}).ended);
      for (const { type } of await Promise.all(calls)) {
        assert.equal(type, "answered");
      }
    },
  );
  steps.define(
    "the caller that reads on has the whole answer",
    async (world) => {
      const hash = createHash("sha256");
      const answer = answers.get(world);
      if (answer === undefined) throw new Error("No caller has asked");
      for await (const piece of answer) hash.update(piece as Buffer);
      const sizeBytes = world.notes.get("answer bytes") ?? 0;
      assert.equal(hash.digest("hex"), hashOfLongAnswer(sizeBytes));
    },
  );
}

/** Returns the answer once its head has come; its body is not read. */
async function ask(
  { fleet }: World,
  sizeBytes: number,
): Promise<IncomingMessage> {
  const [router] = fleet.routers;
  const [team] = fleet.plan.teams;
  const url = `${router?.url}/services/${plainService(fleet)}/export?bytes=${sizeBytes}`;
  const headers = { authorization: `Bearer ${team?.key}` };
  return await new Promise((resolve, reject) => {
    const sent = request(url, { method: "POST", headers }, resolve);
    sent.on("error", reject);
    sent.end("All of it");
  });
}

function plainService({ plan }: Fleet): string {
  return plan.services.find(({ type }) => type === "plain")?.name ?? "";
}

async function written({ fleet }: World): Promise<number> {
  const progress = await Promise.all(
    fleet.backends
      .filter(({ service }) => service === plainService(fleet))
      .map(async ({ url }) => {
        const response = await fetch(`${url}/progress`);
        return (await response.json()) as Progress;
      }),
  );
  return progress.reduce((sum, { writtenBytes }) => sum + writtenBytes, 0);
}
