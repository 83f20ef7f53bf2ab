/** Servers that write a response once more on a connection that is kept. */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  type RouterFixture,
  serverHeaders,
} from "./fixture.ts";

const REQUESTS = 12;

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

async function start(
  scripts: readonly Script[],
  repetition: "idempotent" | "non-idempotent" = "non-idempotent",
): Promise<void> {
  const route = createRoute({ repetition, maxAttempts: 2 });
  const configuration = createConfiguration({ routes: [route] });
  fixture = await createRouterFixture({ configuration, scripts });
}

/** Sends a request whose body names it, on a new connection. */
async function call(id: string, { named = true } = {}) {
  const { statusCode: status, body } = await request(
    `http://127.0.0.1:${fixture.port}/lookup/1`,
    {
      method: "POST",
      headers: {
        host: "desk.example",
        ...(named && { "x-attempt-id": id }),
        "x-deadline-ms": "3000",
      },
      body: id,
    },
  );
  return { id, status, text: await body.text() };
}

async function callInTurn() {
  const responses = [];
  for (let i = 0; i < REQUESTS; i += 1) {
    responses.push(await call(`id-${i}`));
    // The connection rests for a moment, in which late bytes may come.
    await delay(20);
  }
  return responses;
}

/** Counts the runs of each request, by its body. */
class RunLog {
  readonly #runsById = new Map<string, number>();

  add(id: string): void {
    this.#runsById.set(id, this.of(id) + 1);
  }

  of(id: string): number {
    return this.#runsById.get(id) ?? 0;
  }
}

function refusal(idLine: string): string {
  const head = `HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n${idLine}`;
  return `${head}Content-Length: 0\r\n\r\n`;
}

function answer(received: ReceivedRequest, { named = true } = {}): string {
  const head = `HTTP/1.1 200 OK\r\n${
    named ? serverHeaders(received) : "X-Response-Seal: seal\r\n"
  }`;
  return `${head}Content-Length: ${received.body.length}\r\n\r\n${received.body}`;
}

const idLineOf = ({ headers }: ReceivedRequest) =>
  `X-Attempt-Id: ${headers["x-attempt-id"]}\r\n`;

/** Refuses the first request of each connection and serves the later ones. */
function refuseFirst(
  runs: RunLog,
  repeat: (received: ReceivedRequest, copy: string) => void,
  { namesCopy }: { readonly namesCopy: boolean },
): Script {
  const refusals = new WeakMap<Socket, string>();
  return (received) => {
    const { socket, body } = received;
    const copy = refusals.get(socket);
    if (copy === undefined) {
      const idLine = idLineOf(received);
      refusals.set(socket, refusal(namesCopy ? idLine : ""));
      socket.write(refusal(idLine));
      return;
    }
    runs.add(body);
    repeat(received, copy);
  };
}

const repeats: ReadonlyArray<
  readonly [string, (received: ReceivedRequest, copy: string) => void]
> = [
  [
    "ahead of the answer",
    (received, copy) => received.socket.write(copy + answer(received)),
  ],
  [
    "in two parts",
    (received, copy) => {
      received.socket.write(copy.slice(0, 20));
      setTimeout(
        () => received.socket.write(copy.slice(20) + answer(received)),
        5,
      );
    },
  ],
  [
    "while the request runs",
    (received, copy) => {
      received.socket.write(copy);
      setTimeout(() => received.socket.write(answer(received)), 30);
    },
  ],
];

for (const [when, repeat] of repeats) {
  for (const namesCopy of [false, true]) {
    const copy = namesCopy ? "refusal" : "refusal without an id";
    test(`an earlier ${copy} ${when} is no promise`, async () => {
      const runs = new RunLog();
      const script = refuseFirst(runs, repeat, { namesCopy });
      await start([script, script]);
      const responses = await callInTurn();
      const served = responses.filter(({ id }) => runs.of(id) > 0);
      assert.ok(served.length > 0, "no request reached a kept connection");
      for (const { id, status } of served) {
        assert.equal(runs.of(id), 1, `${id} ran more than once`);
        assert.notEqual(status, 503, `${id} ran and was told that it didn't`);
      }
    });
  }
}

/** Writes the answer before last once more, ahead of each answer. */
function repeatAnswer({ named }: { readonly named: boolean }): Script {
  const answers = new WeakMap<Socket, string>();
  return (received) => {
    const { socket } = received;
    socket.write((answers.get(socket) ?? "") + answer(received));
    answers.set(socket, answer(received, { named }));
  };
}

/** Writes each answer once more, some time after it. */
function repeatAnswerLate({ named }: { readonly named: boolean }): Script {
  return (received) => {
    received.socket.write(answer(received));
    setTimeout(() => received.socket.write(answer(received, { named })), 22);
  };
}

for (const named of [true, false]) {
  const copy = named ? "answer" : "answer without an id";
  for (const [when, script] of [
    ["ahead of the next one", repeatAnswer({ named })],
    ["late", repeatAnswerLate({ named })],
  ] as const) {
    test(`an earlier ${copy} ${when} reaches no other caller`, async () => {
      await start([script, script], "idempotent");
      const responses = await callInTurn();
      const served = responses.filter(({ status }) => status === 200);
      assert.ok(served.length > 0);
      for (const { id, text } of served) assert.equal(text, id);
      // Both servers may have written a copy ahead of their answers.
      for (const { status } of responses)
        assert.ok([200, 502].includes(status));
    });
  }
}

test("a refusal without an id on a new connection is a promise", async () => {
  const refuseUnread: Script = ({ socket }) => {
    socket.end(refusal(""));
  };
  const runs = new RunLog();
  await start([
    refuseUnread,
    (received) => {
      runs.add(received.body);
      received.socket.write(answer(received));
    },
  ]);
  for (const { id, status } of await callInTurn())
    assert.deepEqual([status, runs.of(id)], [200, 1]);
});

test("servers that never name requests are served on new connections", async () => {
  const serveUnnamed: Script = (received) => {
    received.socket.write(answer(received, { named: false }));
  };
  await start([serveUnnamed]);
  for (const { id, status, text } of await callInTurn())
    assert.deepEqual([status, text], [200, id]);
  assert.equal(fixture.servers[0]?.connections, REQUESTS);
});

test("requests without an id are served beside others", async () => {
  const serve: Script = (received) => {
    const named = received.headers["x-attempt-id"] !== undefined;
    received.socket.write(answer(received, { named }));
  };
  await start([serve]);
  for (let i = 0; i < REQUESTS; i += 1) {
    const { status, text } = await call(`id-${i}`, { named: i % 2 === 0 });
    assert.deepEqual([status, text], [200, `id-${i}`]);
  }
});
