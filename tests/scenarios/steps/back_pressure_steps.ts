/** Steps with a caller that stops reading a long answer. */

import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { type IncomingMessage, request } from "node:http";
import { sleep } from "../../../src/common/promises.ts";
import {
  hashOfLongAnswer,
  type Progress,
} from "../../../stand_ins/plain_service/long_answer.ts";
import type { Fleet } from "../../../tools/fleet/fleet.ts";
import { until } from "../../../tools/fleet/until.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

const MEGABYTE = 1024 * 1024;
/** A server that writes nothing for so long counts as stopped. */
const IDLE_PERIOD_MS = 1_000;
const STOP_TIMEOUT_MS = 20_000;

const unreadAnswers = new WeakMap<World, IncomingMessage>();

/** Adds the step definitions. */
export function addBackPressureSteps(steps: StepRegistry<World>): void {
  steps.define(
    "a caller asks for an answer of {int} MB and stops reading",
    async (world, megabytes: number) => {
      const sizeBytes = megabytes * MEGABYTE;
      world.stepValues.set("answer bytes", sizeBytes);
      unreadAnswers.set(world, await requestLongAnswer(world, sizeBytes));
    },
  );
  steps.define(
    "the backend server stops writing before {int} MB",
    async (world, megabytes: number) => {
      await until("the backend server stops writing", STOP_TIMEOUT_MS, {
        holds: async () => {
          const before = await readWrittenBytes(world);
          await sleep(IDLE_PERIOD_MS);
          return before > 0 && (await readWrittenBytes(world)) === before;
        },
      });
      const bytes = await readWrittenBytes(world);
      assert.ok(
        bytes < megabytes * MEGABYTE,
        `The backend server wrote ${bytes} bytes`,
      );
    },
  );
  steps.define(
    "{int} other callers receive their streams",
    async (world, count: number) => {
      const calls = Array.from({ length: count }, () => world.call({}).ended);
      for (const { type } of await Promise.all(calls)) {
        assert.equal(type, "answered");
      }
    },
  );
  steps.define(
    "the caller reads on and receives the whole answer",
    async (world) => {
      const hash = createHash("sha256");
      const answer = unreadAnswers.get(world);
      if (answer === undefined) throw new Error("No caller has asked");
      for await (const piece of answer) hash.update(piece as Buffer);
      const sizeBytes = world.stepValues.get("answer bytes") ?? 0;
      assert.equal(hash.digest("hex"), hashOfLongAnswer(sizeBytes));
    },
  );
}

/** Resolves once the answer's head has arrived; its body is left unread. */
async function requestLongAnswer(
  { fleet }: World,
  sizeBytes: number,
): Promise<IncomingMessage> {
  const [router] = fleet.routers;
  const [team] = fleet.plan.teams;
  const url = `${router?.url}/services/${plainServiceName(fleet)}/export?bytes=${sizeBytes}`;
  const headers = { authorization: `Bearer ${team?.key}` };
  return await new Promise((resolve, reject) => {
    const sent = request(url, { method: "POST", headers }, resolve);
    sent.on("error", reject);
    sent.end("All of it");
  });
}

function plainServiceName({ plan }: Fleet): string {
  return plan.services.find(({ type }) => type === "plain")?.name ?? "";
}

async function readWrittenBytes({ fleet }: World): Promise<number> {
  const progress = await Promise.all(
    fleet.backends
      .filter(({ service }) => service === plainServiceName(fleet))
      .map(async ({ url }) => {
        const response = await fetch(`${url}/progress`);
        return (await response.json()) as Progress;
      }),
  );
  return progress.reduce((sum, { writtenBytes }) => sum + writtenBytes, 0);
}
