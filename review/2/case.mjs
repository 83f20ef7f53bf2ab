// A replica breaks off some of its answers, among them failures on a route
// whose streams may be resumed.

import * as kit from "../harness.mjs";

const EVENTS = 6;
const DEADLINE_MS = 5_000;
const REQUESTS = 600;
const PARALLEL = 8;
/** The replica that doesn't hold the model, and breaks off some answers. */
const FAULTY = "i-3";
/** One of so many of its answers breaks off: x = 0.05. */
const BROKEN_OF = 20;
/** Time in which answers break off. */
const GARBLE_MS = 5_500;
const FAILURE = JSON.stringify({
  error: { code: "unknown-model", message: "This replica doesn't hold m" },
});

function eventsAfter(last) {
  const numbers = Array.from({ length: EVENTS }, (_, index) => index + 1);
  return numbers
    .filter((number) => number > last)
    .map((number) => `id: ${number}\ndata: word ${number}\n\n`);
}

const STREAM = eventsAfter(0).join("");

await kit.main(import.meta.url, async (run) => {
  await run.startStore(kit.configurationOf([kit.RESUMABLE_ROUTE]));
  let answersOfFaulty = 0;
  let garbleUntilMs = 0;
  /** Requests whose answer was broken off. */
  const brokenOff = new Set();

  const fail = async (request) => {
    const { socket, id } = request;
    answersOfFaulty += 1;
    const breaksOff =
      performance.now() < garbleUntilMs && answersOfFaulty % BROKEN_OF === 0;
    const isChunked = answersOfFaulty % (2 * BROKEN_OF) !== 0;
    const framing = isChunked
      ? "Transfer-Encoding: chunked"
      : `Content-Length: ${FAILURE.length}`;
    const encode = isChunked ? kit.chunk : (text) => text;
    socket.write(
      `HTTP/1.1 404 Not Found\r\n${kit.sealed(request, `seal-${FAULTY}`)}` +
        `Content-Type: application/json\r\n${framing}\r\n\r\n`,
    );
    socket.write(encode(FAILURE.slice(0, 30)));
    await kit.sleep(10);
    if (breaksOff) {
      brokenOff.add(id);
      socket.resetAndDestroy();
      return;
    }
    socket.write(encode(FAILURE.slice(30)) + (isChunked ? "0\r\n\r\n" : ""));
  };
  const stream = (replicaId) => async (request) => {
    const { socket, headers } = request;
    socket.write(
      `HTTP/1.1 200 OK\r\n${kit.sealed(request, `seal-${replicaId}`)}` +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for (const text of eventsAfter(Number(headers["last-event-id"] ?? 0))) {
      if (socket.destroyed) return;
      socket.write(kit.chunk(text));
      await kit.sleep(5);
    }
    if (!socket.destroyed) socket.write("0\r\n\r\n");
  };
  for (const id of ["i-1", "i-2", FAULTY]) {
    const answer = id === FAULTY ? fail : stream(id);
    const options = { id, service: "desk-model", slots: 64, answer };
    const replica = await run.startReplica(options);
    await run.startAdmission(replica, { service: "desk-model" });
  }
  const router = await run.startRouter();
  await kit.sleep(1_000);
  if (kit.TROUBLE) garbleUntilMs = performance.now() + GARBLE_MS;

  const broken = [];
  const statuses = new Map();
  const channels = new Map();
  await kit.repeat(REQUESTS, PARALLEL, async (number) => {
    const id = `r${number}`;
    // A channel is kept for the next request.
    const free = [...channels].find(([, isFree]) => isFree)?.[0];
    const name = `c${number}`;
    const channel =
      free ?? new kit.Channel(run, { ...router, name, quiet: true });
    channels.set(channel, false);
    await channel.opened;
    const answer = await kit.ask(channel, {
      ...{ id, path: `/rules/${id}`, deadlineMs: DEADLINE_MS },
      lines: kit.promptLines(number),
    });
    const status = answer?.status ?? `none (${channel.end ?? "open"})`;
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    const isWhole =
      answer === null ||
      (answer.status === 200 && answer.body === STREAM) ||
      (answer.status === 404 && answer.body === FAILURE) ||
      // The router's own failures have no seal.
      (answer.seal === null && answer.status >= 500);
    if (!isWhole) {
      const text = JSON.stringify(answer.body);
      broken.push(id);
      run.log(
        brokenOff.has(id)
          ? `MIXED: ${id}, broken off by ${FAULTY}, looks complete on channel ` +
              `${channel.name}: ${answer.status} ${text}`
          : `MIXED: ${id} on channel ${channel.name} got ` +
              `${JSON.stringify(answer.head)} ${text}`,
      );
    }
    if (answer === null || answer.closes || channel.end !== null) {
      channels.delete(channel);
      channel.close();
    } else channels.set(channel, true);
  });
  for (const id of broken)
    for (const event of router.events)
      if (event.request === id) run.log(`router: ${JSON.stringify(event)}`);
  const counts = [...statuses].map(([status, n]) => `${status}: ${n}`);
  run.log(
    `${REQUESTS} sent; ${counts.join(", ")}; ${FAULTY} gave ` +
      `${answersOfFaulty} answers and broke off ${brokenOff.size}`,
  );
  if ((statuses.get(200) ?? 0) < REQUESTS / 4 || answersOfFaulty < BROKEN_OF)
    throw new Error("Too few requests were served");
  return broken.length > 0
    ? `MIXED: ${broken.length} answers aren't a replica's whole answer, ` +
        `${brokenOff.size} were broken off`
    : null;
});
