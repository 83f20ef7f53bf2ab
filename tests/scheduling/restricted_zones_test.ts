/**
 * Placing while zones are emptied, or a request may be served in some regions only:
 * the load of a whole service moves to what is left, or is refused at once.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BackendServer,
  ServerNotices,
  ZoneEvacuations,
} from "../../src/directory/mod.ts";
import { RouteTable, ZoneRegions } from "../../src/routing/mod.ts";
import type {
  Decision,
  Demand,
  EngineAdmission,
  Permit,
  PermitCallbacks,
  Placement,
} from "../../src/scheduling/mod.ts";
import { Scheduler } from "../../src/scheduling/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";

const NEVER = new AbortController().signal;
const REPORT = {
  ...{ runs: 0, unreadTokens: 0, privateTokens: 0, asks: 0, askedTokens: 0 },
  ...{ tokensPerMs: 40, failureShare: 0, requestsPerS: null, freeSlots: 0 },
  ...{ cacheLifetimeMs: null, routers: 1 },
};

/** An admission controller that answers when the test says so. */
class FakeAdmission implements EngineAdmission {
  readonly connected = true;
  readonly report = REPORT;
  /** Requests that wait for a permit. */
  readonly waiting = new Set<PermitCallbacks>();
  /** Permits that were given back. */
  readonly returned: string[] = [];

  requestPermit(_parameters: unknown, callbacks: PermitCallbacks): () => void {
    this.waiting.add(callbacks);
    return () => this.waiting.delete(callbacks);
  }

  /** Permits the requests that wait. */
  permitAll(): void {
    const permit: Permit = {
      uncachedTokens: 0,
      begun: () => {},
      noteMissedPace: () => {},
      finish: (outcome) => this.returned.push(outcome),
    };
    for (const callbacks of this.waiting) {
      this.waiting.delete(callbacks);
      callbacks.permitted(permit);
    }
  }

  usageOf(): number {
    return 0;
  }

  noteRequestLimit(): void {}
}

/** A scheduler with one server of service `chat` in each of the zones. */
function createScheduler(
  zones: readonly string[],
  service: "plain" | "engines" = "plain",
) {
  const clock = createManualClock();
  const evacuations = new ZoneEvacuations(clock);
  const admissions = new Map<string, FakeAdmission>();
  const scheduler = new Scheduler({
    ...{ clock, evacuations, notices: new ServerNotices(clock) },
    availabilityZone: "a",
    admissionOf: ({ availabilityZone }) =>
      admissions.get(availabilityZone) ?? null,
    shareRequestLimit: () => {},
  });
  const engine =
    service === "plain"
      ? null
      : { slots: 64, cacheTokens: 400_000, copiedTokensPerMs: 500 };
  const services = [
    { name: "chat", maxConnections: 100, engine, coldStart: null },
  ];
  scheduler.configure(new RouteTable(createConfiguration({ services })));
  const add = (zone: string, change: Partial<BackendServer> = {}) => {
    if (engine !== null) admissions.set(zone, new FakeAdmission());
    const id = `in-${zone}`;
    const server = {
      id,
      service: "chat",
      availabilityZone: zone,
      slots: 4_000,
    };
    const joined = createServer({ ...server, ...change });
    scheduler.apply({ type: "joined", server: joined });
  };
  for (const zone of zones) add(zone);
  let revision = 0;
  const empty = (...emptied: string[]) => {
    revision += 1;
    evacuations.learn({ era: 1, revision, zones: emptied, ageMs: 0 }, "store");
    scheduler.applyEvacuations();
  };
  return { scheduler, admissions, clock, add, empty };
}

/** Where requests go that are in flight at the same time, or why not. */
async function zonesOf(
  scheduler: Scheduler,
  { count, ...change }: { readonly count: number } & Partial<Demand>,
): Promise<string[]> {
  const decisions: Decision[] = [];
  for (let placed = 0; placed < count; placed += 1)
    decisions.push(await scheduler.place(createDemand(change), NEVER));
  for (const decision of decisions)
    if (decision.type === "placed") decision.release("served");
  return [...new Set(decisions.map(describe))].sort();
}

function describe(decision: Decision): string {
  switch (decision.type) {
    case "placed":
      return decision.server.availabilityZone;
    case "refused":
      return decision.reason;
    case "left":
      return "left";
    default:
      return decision satisfies never;
  }
}

test("a zone's whole load moves to the others while it is emptied, and comes back", async () => {
  const { scheduler, empty } = createScheduler(["a", "b", "c"]);
  const many = { count: 200 };
  assert.ok((await zonesOf(scheduler, many)).includes("a"));
  empty("a");
  assert.deepEqual(await zonesOf(scheduler, many), ["b", "c"]);
  empty("a", "b");
  assert.deepEqual(await zonesOf(scheduler, many), ["c"]);
  // A retry isn't sent to an emptied zone either: it waits for the rest.
  const excluded = new Set(["in-c"]);
  const left = AbortSignal.timeout(30);
  const again = await scheduler.place(createDemand({ excluded }), left);
  assert.equal(again.type, "left");
  empty("b");
  assert.ok((await zonesOf(scheduler, many)).includes("a"));
});

test("a server that joins an emptied zone gets no requests", async () => {
  const { scheduler, add, empty } = createScheduler(["b"]);
  empty("a");
  add("a");
  assert.deepEqual(await zonesOf(scheduler, { count: 100 }), ["b"]);
});

test("without a server in another zone, a request is refused at once", async () => {
  const { scheduler, empty } = createScheduler(["a", "b"]);
  empty("a", "b");
  const refused = await scheduler.place(createDemand(), NEVER);
  assert.ok(refused.type === "refused");
  assert.equal(refused.reason, "evacuated");
  assert.ok(refused.retryAfterMs >= 2_000 && refused.retryAfterMs <= 3_000);
  // A zone without servers changes nothing.
  empty("nowhere");
  assert.deepEqual(await zonesOf(scheduler, { count: 100 }), ["a", "b"]);
});

test("a stream goes on at its version in other zones only", async () => {
  const { scheduler, add, empty } = createScheduler(["b"]);
  add("a", { version: "v2" });
  empty("a");
  const placed = await zonesOf(scheduler, { count: 1, version: "v2" });
  assert.deepEqual(placed, ["evacuated"]);
});

/** A request with a prompt, and an engine that it has asked for a permit. */
async function startWaiting(zones: readonly string[]) {
  const fixture = createScheduler(zones, "engines");
  const prompt = createPrompt("head", "own");
  const decision = fixture.scheduler.place(createDemand({ prompt }), NEVER);
  const asked = [...fixture.admissions].find(([, { waiting }]) => waiting.size);
  assert.ok(asked);
  const [zone, admission] = asked;
  return { ...fixture, decision, zone, admission };
}

test("a request that awaits a permit in an emptied zone asks elsewhere", async () => {
  const waiting = await startWaiting(["a", "b", "c"]);
  waiting.empty(waiting.zone);
  assert.equal(waiting.admission.waiting.size, 0);
  for (const admission of waiting.admissions.values()) admission.permitAll();
  const placed = await waiting.decision;
  assert.ok(placed.type === "placed");
  assert.notEqual(placed.server.availabilityZone, waiting.zone);
  assert.notEqual(placed.source?.availabilityZone, waiting.zone);
});

test("requests that wait are refused at once when the last zone is emptied", async () => {
  const waiting = await startWaiting(["a", "b"]);
  waiting.empty("a", "b");
  assert.equal(waiting.scheduler.waiting, 0);
  assert.equal(describe(await waiting.decision), "evacuated");
});

test("a permit in a zone that is emptied before the send is given back", async () => {
  const waiting = await startWaiting(["a", "b"]);
  waiting.admission.permitAll();
  const placed = (await waiting.decision) as Placement;
  assert.equal(placed.isOpen(), true);
  waiting.empty(waiting.zone);
  assert.equal(placed.isOpen(), false);
  placed.release("neutral");
  assert.deepEqual(waiting.admission.returned, ["neutral"]);
});

test("no prefix is copied from an engine in an emptied zone", async () => {
  const { scheduler, admissions, empty } = createScheduler(
    ["a", "b", "c"],
    "engines",
  );
  const sources = new Set<string>();
  const placeMany = async () => {
    sources.clear();
    for (let sent = 0; sent < 60; sent += 1) {
      const prompt = createPrompt(`head-${sent % 6}`, `own-${sent}`);
      const decision = scheduler.place(createDemand({ prompt }), NEVER);
      for (const admission of admissions.values()) admission.permitAll();
      const placed = (await decision) as Placement;
      if (placed.source) sources.add(placed.source.availabilityZone);
    }
  };
  await placeMany();
  assert.ok(sources.size > 0, "prefixes are copied");
  empty("b");
  await placeMany();
  assert.ok(!sources.has("b"), "none from the emptied zone");
});

const REGIONS = new ZoneRegions({ a: "north", b: "north", c: "south" });

/** Zones by the regions of a route and of its team. */
function zonesAllowed(
  ofRoute: readonly string[] | null,
  ofTeam: readonly string[] | null,
): ReadonlySet<string> | null {
  const route = createRoute({ regions: ofRoute });
  const teams = [{ name: "porters", apiKeys: ["k"], regions: ofTeam }];
  const table = new RouteTable(createConfiguration({ routes: [route], teams }));
  return REGIONS.zonesIn(table.regionsOf(route, "porters"));
}

test("the regions of a route and of a team both bind", async () => {
  const { scheduler } = createScheduler(["a", "b", "c", "unknown"]);
  const placedIn = (...args: Parameters<typeof zonesAllowed>) =>
    zonesOf(scheduler, { count: 200, zones: zonesAllowed(...args) });
  assert.equal(zonesAllowed(null, null), null);
  assert.deepEqual(await placedIn(["north"], null), ["a", "b"]);
  assert.deepEqual(await placedIn(null, ["south"]), ["c"]);
  assert.deepEqual(await placedIn(["north", "south"], ["south"]), ["c"]);
  assert.deepEqual(await placedIn(["north"], ["south"]), ["outside-regions"]);
  assert.deepEqual(await placedIn(["west"], null), ["outside-regions"]);
});

test("a request whose regions are emptied isn't served outside of them", async () => {
  const { scheduler, empty } = createScheduler(["a", "b", "c"]);
  const zones = zonesAllowed(["south"], null);
  empty("c");
  assert.deepEqual(await zonesOf(scheduler, { count: 1, zones }), [
    "evacuated",
  ]);
});

test("a copy comes from an engine in the request's regions", async () => {
  const { scheduler, admissions } = createScheduler(["a", "b", "c"], "engines");
  const zones = zonesAllowed(["north"], null);
  for (let sent = 0; sent < 40; sent += 1) {
    const prompt = createPrompt(`head-${sent % 4}`, `own-${sent}`);
    const decision = scheduler.place(createDemand({ prompt, zones }), NEVER);
    for (const admission of admissions.values()) admission.permitAll();
    const placed = (await decision) as Placement;
    assert.notEqual(placed.server.availabilityZone, "c");
    assert.notEqual(placed.source?.availabilityZone, "c");
  }
});
