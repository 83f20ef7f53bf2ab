/** A router process is killed while answers without a length pass through it. */

import {
  Channel,
  configurationOf,
  headOf,
  record,
  run,
  sealOf,
  sleep,
  TROUBLE,
} from "../harness-3.mjs";

const STREAMS = 12;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 100;
const KILLED_AFTER_MS = 900;

const eventOf = (number) => `id: ${number}\ndata: word ${number}\n\n`;

/** Writes a stream that ends with its channel. */
async function stream(request) {
  const { socket } = request;
  socket.write(
    `HTTP/1.1 200 OK\r\n${sealOf(request)}` +
      "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
  );
  for (let number = 1; number <= EVENTS; number += 1) {
    if (socket.destroyed) return;
    socket.write(eventOf(number));
    await sleep(EVENT_INTERVAL_MS);
  }
  socket.end();
}

await run(import.meta.url, async (deployment) => {
  await deployment.start(
    configurationOf([{ name: "handover-digest", pathPrefix: "/digest/" }]),
  );
  for (const id of ["i-1", "i-2"]) {
    const replica = await deployment.addReplica(id, stream);
    await deployment.startAdmission(replica);
  }
  const router = await deployment.startRouter();
  await deployment.startRouter();
  await sleep(1_500);
  const whole = Array.from({ length: EVENTS }, (_, at) => eventOf(at + 1)).join(
    "",
  );
  const answers = Array.from({ length: STREAMS }, async (_, at) => {
    const id = `digest-${at + 1}`;
    const channel = new Channel(router);
    record(`consumer sends ${id}`);
    const more =
      "X-Model: m\r\nX-Token-Count: 600,200\r\n" +
      `X-Prefix-Hash: 5c1e07a2:350,${(4096 + at).toString(16)}:250\r\n`;
    const answer = await channel.request(
      headOf({ path: "/digest/x", id, more }),
    );
    const events = answer.body.split("\n\n").length - 1;
    record(
      `consumer of ${id} has ${answer.status}, ` +
        `seal ${answer.headers["x-response-seal"] ?? "none"}, ` +
        `framing ${answer.framing}, ${events} of ${EVENTS} events, ` +
        `channel ended by ${answer.channel}, complete: ${answer.complete}`,
    );
    channel.close();
    return answer;
  });
  await sleep(KILLED_AFTER_MS);
  if (TROUBLE) {
    router.child.kill("SIGKILL");
    record("SIGKILL to the router process");
  }
  const got = await Promise.all(answers);
  const sealed = got.filter(
    ({ status, headers }) => status === 200 && headers["x-response-seal"],
  );
  if (sealed.length < STREAMS) throw new Error("Not all streams began");
  const truncated = sealed.filter(
    ({ complete, body }) =>
      complete && body !== whole && whole.startsWith(body),
  );
  if (truncated.length === 0) return null;
  return `${truncated.length} of ${STREAMS} answers look complete without their last events`;
});
