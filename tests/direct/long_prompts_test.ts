/** Servers that crash under a part far behind in the prompts of their requests. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  callWithParts,
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
  serverHeaders,
} from "./fixture.ts";

const SERVERS = 14;
/** Crashes, and sends beyond them, that the users' rules allow. */
const ALLOWED_SENDS = 5 + 3;
/** Parts that fit in a head of 16 KiB, with short names. */
const PARTS = 1_100;
const DEADLY = ["dead1", "dead2"] as const;

let fixture: RouterFixture;
let lastId = 0;

afterEach(async () => {
  await fixture.close();
});

function deadlyPartOf({ headers }: ReceivedRequest): string | undefined {
  const parts = headers["x-prefix-hash"] ?? "";
  return DEADLY.find((part) => parts.includes(`${part}:`));
}

/** Starts a router with servers that crash under a deadly part. */
async function start(): Promise<void> {
  const scripts = Array.from({ length: SERVERS }, (_, index) => {
    return (received: ReceivedRequest) => {
      if (deadlyPartOf(received) === undefined) {
        respondCompletely(received);
        return;
      }
      const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
      received.socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
      setTimeout(() => fixture.servers[index]?.crash(), 5);
    };
  });
  const routes = [createRoute({ maxAttempts: 1 })];
  const configuration = createConfiguration({ routes });
  fixture = await createRouterFixture({ configuration, scripts });
}

function sendsOf(part: string): number {
  return fixture.servers
    .flatMap(({ requests }) => requests)
    .filter((received) => deadlyPartOf(received) === part).length;
}

function call(parts: readonly string[]): Promise<number> {
  lastId += 1;
  return callWithParts(fixture.port, { number: lastId, parts });
}

const SHARED = Array.from({ length: PARTS - 1 }, (_, at) => `s${at}`);

function withPart(parts: readonly string[], part: string, place: number) {
  return [...parts.slice(0, place), part, ...parts.slice(place)];
}

/** Parts that no other prompt has. */
function ownParts(): string[] {
  return Array.from({ length: PARTS - 1 }, (_, at) => `o${lastId}x${at}`);
}

const places: Record<string, (count: number) => number> = {
  "at the front": () => 0,
  "behind the first 128": () => 160,
  "at the end": () => PARTS - 1,
  "at moving places": (count) => (count * 307) % PARTS,
};

for (const [where, placeOf] of Object.entries(places)) {
  test(`a part ${where} of long prompts stops reaching servers`, async () => {
    await start();
    const [part] = DEADLY;
    for (let count = 0; count < SERVERS - 2; count += 1) {
      await call(withPart(SHARED, part, placeOf(count)));
      assert.equal(await call(SHARED), 200, `after ${count + 1}`);
    }
    const sends = sendsOf(part);
    assert.ok(sends <= ALLOWED_SENDS, `${sends} sends`);
  });
}

test("a part of long prompts that share nothing else is found", async () => {
  await start();
  const [part] = DEADLY;
  for (let count = 0; count < SERVERS - 2; count += 1) {
    await call(withPart(ownParts().slice(0, 800), part, (count * 211) % 800));
    assert.equal(await call(ownParts().slice(0, 800)), 200);
  }
  assert.ok(sendsOf(part) <= ALLOWED_SENDS, `${sendsOf(part)} sends`);
});

test("two parts of long prompts are found at once", async () => {
  await start();
  const [one, other] = DEADLY;
  for (let count = 0; count < SERVERS - 4; count += 1) {
    await call(withPart(SHARED, one, 1_000 - count));
    await call(withPart(SHARED, other, 100 + count));
    assert.equal(await call(SHARED), 200, `after ${count + 1}`);
  }
  for (const part of DEADLY)
    assert.ok(sendsOf(part) <= ALLOWED_SENDS, `${part}: ${sendsOf(part)}`);
});
