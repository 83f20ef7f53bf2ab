// Replicas reset some of their answers that have no length, right after a part.

import * as kit from "../harness.mjs";

const DEADLINE_MS = 4_000;
const REQUESTS = 800;
const PARALLEL = 6;
/** One of so many answers of a faulty replica breaks off: x = 0.05. */
const BROKEN_OF = 20;
/** Time in which answers break off. */
const GARBLE_MS = 5_500;
/** Half of the replicas of each service: share = 0.5. */
const FAULTY = new Set(["i-1", "i-2", "a-1", "a-2"]);

/** A stream that may run only once, like handover-digest. */
const DIGEST_ROUTE = {
  ...kit.RESUMABLE_ROUTE,
  ...{ name: "handover-digest", pathPrefix: "/digest/", streamResume: false },
  maxAttempts: 1,
};

/** Parts of a whole answer; a faulty replica breaks off after two. */
function partsOf(kind, id) {
  const lines = ["block A", "block B", "cellar of block C is flooded", "end"];
  return kind === "ticket"
    ? lines.map((line) => `${id}: ${line}\n`)
    : lines.map((line, index) => `id: ${index + 1}\ndata: ${line}\n\n`);
}

/** Answers without a length: they end with their channel. */
function answerOf(kind, replicaId, { brokenOff, isGarbling }) {
  let answers = 0;
  return async (request) => {
    const { socket, id } = request;
    const type = kind === "ticket" ? "text/plain" : "text/event-stream";
    answers += 1;
    const breaksOff =
      isGarbling() && FAULTY.has(replicaId) && answers % BROKEN_OF === 0;
    socket.write(
      `HTTP/1.1 200 OK\r\n${kit.sealed(request, `seal-${id}`)}` +
        `Content-Type: ${type}\r\n\r\n`,
    );
    for (const [index, part] of partsOf(kind, id).entries()) {
      await kit.sleep(3);
      if (socket.destroyed) return;
      socket.write(part);
      if (!breaksOff || index !== 1) continue;
      brokenOff.add(id);
      socket.resetAndDestroy();
      return;
    }
    socket.end();
  };
}

await kit.main(import.meta.url, async (run) => {
  await run.startStore(kit.configurationOf([kit.TICKET_ROUTE, DIGEST_ROUTE]));
  /** Requests whose answers replicas have broken off. */
  const brokenOff = new Set();
  let garbleUntilMs = 0;
  const isGarbling = () => performance.now() < garbleUntilMs;
  const faults = { brokenOff, isGarbling };
  const replicas = [];
  for (const id of ["i-1", "i-2", "i-3", "i-4"]) {
    const answer = answerOf("digest", id, faults);
    const options = { id, service: "desk-model", slots: 64, answer };
    const replica = await run.startReplica(options);
    replicas.push(replica);
    await run.startAdmission(replica, { service: "desk-model" });
  }
  for (const id of ["a-1", "a-2", "a-3", "a-4"]) {
    const answer = answerOf("ticket", id, faults);
    const options = { id, service: "desk-app", slots: 16, answer };
    replicas.push(await run.startReplica(options));
  }
  const router = await run.startRouter();
  await kit.sleep(1_000);
  if (kit.TROUBLE) garbleUntilMs = performance.now() + GARBLE_MS;

  const broken = [];
  let whole = 0;
  await kit.repeat(REQUESTS, PARALLEL, async (number) => {
    const kind = number % 2 === 0 ? "ticket" : "digest";
    const id = `${kind}-${number}`;
    const channel = new kit.Channel(run, { ...router, name: id, quiet: true });
    await channel.opened;
    const lines = kind === "digest" ? kit.promptLines(number) : [];
    const path = `/${kind}/${id}`;
    const answer = await kit.ask(channel, {
      ...{ id, path, deadlineMs: DEADLINE_MS, lines },
    });
    channel.close();
    const expected = partsOf(kind, id).join("");
    if (answer?.status === 200 && answer.body === expected) whole += 1;
    else if (answer === null)
      run.log(`${id}: no complete answer, channel ${channel.end ?? "open"}`);
    else run.log(`${id}: ${answer.status} ${JSON.stringify(answer.body)}`);
    if (answer?.status !== 200 || answer.body === expected) return;
    broken.push(id);
    run.log(
      `MIXED: ${answer.body.length} of ${expected.length} bytes of ${id} look ` +
        "like the whole answer",
    );
  });
  for (const id of broken)
    for (const event of router.events)
      if (event.request === id) run.log(`router: ${JSON.stringify(event)}`);
  run.log(
    `${REQUESTS} sent, ${whole} answered whole, ${brokenOff.size} broken off ` +
      `by replicas, ${broken.length} of these look whole`,
  );
  if (whole < REQUESTS / 2) throw new Error("Too few requests were served");
  return broken.length > 0
    ? `MIXED: ${broken.length} of ${brokenOff.size} reset answers look whole`
    : null;
});
