/** Measures resident memory at rest and with streams in progress. */

import { deskDeployment } from "../tools/fleet/deployments.ts";
import { Fleet, keyOf } from "../tools/fleet/fleet.ts";
import { until } from "../tools/fleet/until.ts";
import { chat } from "../tools/load/caller.ts";
import { readFleet } from "./control.ts";

const STREAMS = 1_000;
const REPLICAS = 4;
/** Slow steps, so that many streams generate few tokens a second. */
const STEP_MS = 100;
const TOKENS = 150;
const START_TIMEOUT_MS = 30_000;

/**
 * Resident memory by role, in units of 2^20 bytes: that of the largest process
 * of the role.
 */
export interface MemoryFigures {
  /** Streams in progress during the second reading. */
  readonly streams: number;
  readonly atRest: Readonly<Record<string, number>>;
  readonly inProgress: Readonly<Record<string, number>>;
}

/** Measures one router, which carries all streams, and four side processes. */
export async function measureMemory(): Promise<MemoryFigures> {
  const base = deskDeployment();
  const [model] = base.services;
  if (model === undefined) throw new Error("Deployment has no service");
  const slots = STREAMS / REPLICAS;
  const fleet = await Fleet.start({
    ...base,
    routers: 1,
    services: [{ ...model, replicas: REPLICAS, slots, stepMs: STEP_MS }],
    document: {
      ...base.document,
      contracts: base.document.contracts.map((contract) => ({
        ...contract,
        maxInProgressPerRouter: STREAMS,
        maxWaitingPerRouter: STREAMS,
      })),
    },
    logLevel: "warn",
  });
  try {
    const atRest = await readResidentMegabytes(fleet);
    const calls = Array.from({ length: STREAMS }, (_, index) =>
      chat({
        url: fleet.routers[0]?.url ?? "",
        key: keyOf(fleet.plan.teams, "desk-01"),
        model: model.name,
        prompt: `Stream ${index}`,
        maxTokens: TOKENS,
        stream: true,
      }),
    );
    await until(`${STREAMS} streams are in progress`, START_TIMEOUT_MS, {
      holds: async () => (await countRunningStreams(fleet)) >= STREAMS,
    });
    const inProgress = await readResidentMegabytes(fleet);
    const results = await Promise.all(calls);
    const failed = results.filter(({ type }) => type !== "answered").length;
    if (failed > 0) throw new Error(`${failed} streams were not answered`);
    return { streams: STREAMS, atRest, inProgress };
  } finally {
    await fleet.stop();
  }
}

async function countRunningStreams(fleet: Fleet): Promise<number> {
  const states = await Promise.all(
    fleet.sideProcesses.map((member) => fleet.status(member)),
  );
  return states.reduce((sum, state) => sum + Number(state?.running ?? 0), 0);
}

async function readResidentMegabytes(
  fleet: Fleet,
): Promise<Record<string, number>> {
  const reading = await readFleet(fleet);
  const roles: Record<string, number> = {};
  for (const { role, residentBytes } of reading?.values() ?? []) {
    const megabytes = residentBytes / 2 ** 20;
    roles[role] = Math.max(roles[role] ?? 0, megabytes);
  }
  return roles;
}
