/** What requests cost a router and a side process, by their rate. */

import { sleep } from "../src/common/signal.ts";
import { type Fleet, keyOf, type Member } from "../tools/fleet/fleet.ts";
import { chat } from "../tools/load/caller.ts";
import { Random } from "../tools/load/random.ts";
import { type Slope, slopesOf } from "./slope.ts";
import {
  createPlan,
  sideOf,
  type Usage,
  usageOf,
  withFleet,
} from "./slope_fleet.ts";

const TEAM = "desk-01";
const TOKENS = 20;
/** Enough for no request to wait: waiting has slopes of its own. */
const SLOTS = 64;
const SEED = 1;

/** One router and one side process that serve streams at several rates. */
export async function requests(sizes: readonly number[]): Promise<Slope[]> {
  const routers: Usage[] = [];
  const sides: Usage[] = [];
  for (const perSecond of sizes) {
    await withFleet(withSlots(), async (fleet) => {
      const [router] = fleet.routers as [Member];
      const load = new Load(fleet, perSecond);
      const running = load.run();
      const [ofRouter, ofSide] = await Promise.all([
        usageOf(fleet, router),
        usageOf(fleet, sideOf(fleet)),
      ]);
      load.stop();
      await running;
      routers.push(ofRouter);
      sides.push(ofSide);
    });
  }
  const of = "request a second";
  return [
    ...slopesOf("router", of, sizes, { usages: routers }),
    ...slopesOf("side process", of, sizes, { usages: sides }),
  ];
}

function withSlots(): ReturnType<typeof createPlan> {
  const plan = createPlan();
  const services = plan.services.map((one) => ({ ...one, slots: SLOTS }));
  return { ...plan, services };
}

/** Sends streams at a rate until it is stopped. */
class Load {
  readonly #fleet: Fleet;
  readonly #perSecond: number;
  #going = true;

  constructor(fleet: Fleet, perSecond: number) {
    this.#fleet = fleet;
    this.#perSecond = perSecond;
  }

  /** Resolves once every call has ended; rejects if one had no answer. */
  async run(): Promise<void> {
    const random = new Random(SEED);
    const calls: Promise<void>[] = [];
    let dueMs = performance.now();
    while (this.#going) {
      dueMs += random.interval(this.#perSecond);
      await sleep(Math.max(0, dueMs - performance.now()));
      calls.push(this.#call(calls.length));
    }
    await Promise.all(calls);
  }

  /** Ends the load. */
  stop(): void {
    this.#going = false;
  }

  async #call(number: number): Promise<void> {
    const { plan, routers } = this.#fleet;
    const { type, code } = await chat({
      url: routers[0]?.url ?? "",
      key: keyOf(plan.teams, TEAM),
      model: plan.services[0]?.name ?? "",
      prompt: `Call ${number}`,
      maxTokens: TOKENS,
      stream: true,
    });
    if (type !== "answered") throw new Error(`Call ended as ${type} ${code}`);
  }
}
