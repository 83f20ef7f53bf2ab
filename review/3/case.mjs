// A replica crashes while it sends streams to which it has given a length.

import * as kit from "../harness.mjs";

const EVENTS = 20;
const EVENT_INTERVAL_MS = 60;
const DEADLINE_MS = 5_000;
/** Streams that run when the replica crashes. */
const STREAMS = 12;
/** The streams are in their middle then. */
const CRASH_AFTER_MS = 500;
/** Time that a consumer leaves a channel open after an answer. */
const IDLE_MS = 1_500;

const REPLICAS = ["i-1", "i-2", "i-3", "i-4"];
const WORDS = [
  ...["lift", "the lift of block C", "is out of order", "call the porter"],
  ...["please ring", "broken", "ask at the desk", "in the third block"],
];

/** Events of a run; each run samples its own words, so lengths differ. */
function eventsOf(replicaId, id, first) {
  let state = 7;
  for (const letter of `${replicaId} ${id}`)
    state = (state * 31 + letter.charCodeAt(0)) % 65_521;
  const numbers = Array.from({ length: EVENTS }, (_, index) => index + 1);
  return numbers
    .map((number) => {
      state = (state * 75 + 74) % 65_537;
      return `id: ${number}\ndata: ${WORDS[state % WORDS.length]}\n\n`;
    })
    .slice(first - 1);
}

await kit.main(import.meta.url, async (run) => {
  await run.startStore(kit.configurationOf([kit.RESUMABLE_ROUTE]));
  const running = new Map();
  const answerAs = (replicaId) => async (request) => {
    const { socket, headers, id } = request;
    const last = Number(headers["last-event-id"] ?? 0);
    const events = eventsOf(replicaId, id, last + 1);
    const length = events.reduce((sum, text) => sum + text.length, 0);
    socket.write(
      `HTTP/1.1 200 OK\r\n${kit.sealed(request, `seal-${replicaId}`)}` +
        `Content-Type: text/event-stream\r\nContent-Length: ${length}\r\n\r\n`,
    );
    running.set(id, replicaId);
    for (const text of events) {
      if (socket.destroyed) return;
      socket.write(text);
      await kit.sleep(EVENT_INTERVAL_MS);
    }
    running.delete(id);
  };
  const replicas = new Map();
  for (const id of REPLICAS) {
    const answer = answerAs(id);
    const options = { id, service: "desk-model", slots: 64, answer };
    const replica = await run.startReplica(options);
    replicas.set(id, replica);
    await run.startAdmission(replica, { service: "desk-model" });
  }
  const router = await run.startRouter();
  await kit.sleep(1_000);

  const broken = [];
  const interrupted = new Set();
  let whole = 0;
  const consume = async (number) => {
    const id = `s${number}`;
    const channel = new kit.Channel(run, { ...router, name: `c${number}` });
    await channel.opened;
    const answer = await kit.ask(channel, {
      ...{ id, path: `/rules/${id}`, deadlineMs: DEADLINE_MS },
      lines: kit.promptLines(number),
    });
    if (answer === null) {
      const text = JSON.stringify(channel.received.toString("latin1"));
      run.log(`${id}: no complete answer, channel ${channel.end ?? "open"}: ${text}`);
      // A channel that was closed tells the consumer that the rest is missing.
      if (channel.end === null)
        broken.push(`${id} never ends, the channel stays open`);
      channel.close();
      return;
    }
    run.log(`${id}: complete by its frame: ${JSON.stringify(answer)}`);
    await kit.sleep(IDLE_MS);
    const ids = [...answer.body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].map(
      ([, found]) => Number(found),
    );
    const isComplete =
      ids.length === EVENTS && ids.every((found, index) => found === index + 1);
    if (answer.status === 200 && isComplete && answer.body.endsWith("\n\n"))
      whole += 1;
    else if (answer.status === 200)
      broken.push(`${id} looks complete with ${ids.length} of ${EVENTS} events`);
    const rest = channel.received.toString("latin1");
    if (rest.length > 0) {
      run.log(`${id}: bytes with no request waiting: ${JSON.stringify(rest)}`);
      broken.push(`${id}: ${rest.length} bytes with no request waiting`);
    }
    channel.close();
  };
  const consumers = kit.repeat(STREAMS, STREAMS, consume);
  await kit.sleep(CRASH_AFTER_MS);
  if (kit.TROUBLE) {
    // The one with the most streams, but one of four in any case.
    const counts = REPLICAS.map((replicaId) => {
      const ids = [...running].filter(([, at]) => at === replicaId);
      return { replicaId, ids: ids.map(([id]) => id) };
    });
    const [most] = counts.sort((a, b) => b.ids.length - a.ids.length);
    for (const id of most.ids) interrupted.add(id);
    replicas.get(most.replicaId).crash();
  }
  await consumers;
  for (const text of broken) run.log(`ORDER: ${text}`);
  for (const event of router.events)
    if (interrupted.has(event.request))
      run.log(`router: ${JSON.stringify(event)}`);
  run.log(
    `${STREAMS} streams, ${whole} whole, ${interrupted.size} interrupted, ` +
      `${broken.length} findings`,
  );
  if (kit.TROUBLE && interrupted.size === 0)
    throw new Error("The crash interrupted no stream");
  return broken.length > 0 ? `ORDER: ${broken.join("; ")}` : null;
});
