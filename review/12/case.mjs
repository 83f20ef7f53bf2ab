/** One part of long prompts crashes each replica that begins to answer on it. */

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

/**
 * Shared parts of each prompt; the crashing one is the last of them. The variable
 * is for a comparison: with 20 parts the rule holds.
 */
const SHARED_PARTS = Number(process.env.SHARED_PARTS ?? 160);
const REPLICAS = 4;
const BACK_AFTER_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
const DEADLY_INTERVAL_MS = 700;
const SOUND_INTERVAL_MS = 150;
const LASTS_MS = 30_000;
const CRASHING_PART = "dead0001";
const EVENTS = 8;

const eventOf = (number) => `id: ${number}\ndata: word ${number}\n\n`;

await run(import.meta.url, async (deployment) => {
  const crashes = [];
  const deadly = [];
  let cutOff = 0;
  const answer = async (request, replica) => {
    const { socket, headers } = request;
    if (headers["x-prefix-hash"].includes(CRASHING_PART)) {
      const atMs = performance.now();
      deadly.push({ id: headers["x-attempt-id"], atMs });
      crashes.push(atMs);
      record(
        `replica ${replica.id} runs ${headers["x-attempt-id"]} and crashes ` +
          `(crash ${crashes.length}), ${replica.sockets.size} channels are reset`,
      );
      replica.crash();
      await sleep(BACK_AFTER_MS);
      await replica.comeBack();
      deployment.announce(replica);
      return;
    }
    socket.write(
      `HTTP/1.1 200 OK\r\n${sealOf(request)}` +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for (let number = 1; number <= EVENTS; number += 1) {
      if (socket.destroyed) return;
      const event = eventOf(number);
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      await sleep(50);
    }
    socket.write("0\r\n\r\n");
  };
  await deployment.start(
    configurationOf([{ name: "house-rules", pathPrefix: "/rules/" }]),
  );
  for (let count = 1; count <= REPLICAS; count += 1) {
    const quiet = { isQuiet: true };
    const replica = await deployment.addReplica(
      `i-${count}`,
      answer,
      {},
      quiet,
    );
    await deployment.startAdmission(replica);
  }
  const router = await deployment.startRouter();
  await sleep(4_000);

  const shared = Array.from(
    { length: SHARED_PARTS - 1 },
    (_, at) => `${(0xa000 + at).toString(16)}:20`,
  );
  let last = 0;
  const send = async (kind) => {
    last += 1;
    const id = `${kind}-${last}`;
    const own = `${(0x100000 + last).toString(16)}:50`;
    const lastShared = kind === "deadly" ? CRASHING_PART : "fee1000d";
    const parts = [...shared, `${lastShared}:20`, own];
    const more =
      `X-Model: m\r\nX-Token-Count: ${SHARED_PARTS * 20 + 50},50\r\n` +
      `X-Prefix-Hash: ${parts.join(",")}\r\n`;
    const channel = new Channel(router);
    const head = headOf({ path: "/rules/x", id, deadlineMs: 5_000, more });
    const { status, complete } = await channel.request(head, "", 6_000);
    channel.close();
    if (kind === "deadly") record(`consumer of ${id} has ${status}`);
    else if (!complete) {
      cutOff += 1;
      record(`consumer of ${id}, a sound request, has ${status}, cut off`);
    }
    return { kind, status, complete };
  };
  const results = [];
  const waiting = [];
  const every = async (intervalMs, kind, untilMs) => {
    while (performance.now() < untilMs) {
      waiting.push(send(kind).then((result) => results.push(result)));
      await sleep(intervalMs);
    }
  };
  const startMs = performance.now();
  const endMs = startMs + LASTS_MS;
  const sendDeadly = async () => {
    await sleep(3_000);
    if (TROUBLE) await every(DEADLY_INTERVAL_MS, "deadly", endMs);
  };
  await Promise.all([every(SOUND_INTERVAL_MS, "sound", endMs), sendDeadly()]);
  await Promise.all(waiting);
  const fifthMs = crashes[4] ?? Number.POSITIVE_INFINITY;
  const late = deadly.filter(({ atMs }) => atMs > fifthMs + STABLE_WINDOW_MS);
  const count = (kind) => {
    const of = results.filter((one) => one.kind === kind);
    const tally = {};
    for (const { status, complete } of of) {
      const key = `${status}${complete ? "" : " cut off"}`;
      tally[key] = (tally[key] ?? 0) + 1;
    }
    return JSON.stringify(tally);
  };
  record(
    `crashes: ${crashes.length}; requests with the part that reached replicas: ` +
      `${deadly.length}, ${late.length} of them over ${STABLE_WINDOW_MS} ms after ` +
      "the fifth crash",
  );
  record(`with the part: ${count("deadly")}; sound: ${count("sound")}`);
  if (late.length <= 3) return null;
  return (
    `${late.length} requests with the part reached replicas over ` +
    `${STABLE_WINDOW_MS} ms after the fifth crash; ${cutOff} sound streams were cut off`
  );
});
