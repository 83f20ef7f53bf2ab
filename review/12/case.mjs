/** A consumer's prompts have many short parts; ordinary consumers call beside it. */

import { readFileSync } from "node:fs";
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

/** Requests of the one consumer: 40 a second, of 75 that the sheet states. */
const REQUESTS = 2_000;
const CHANNELS = 4;
const INTERVAL_MS = 25 * CHANNELS;
/** Tokens of each prompt, in parts of two with the disruption, else in four. */
const PROMPT_TOKENS = 2_000;
const PARTS = TROUBLE ? 1_000 : 4;
const ENGINES = 6;
/** Ordinary consumers on kept channels, and how long their requests take. */
const ORDINARY = 8;
const WORK_MS = 1_000;
const ENDS_AFTER_MS = 80_000;

const residentMb = ({ child }) => {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1_024);
  } catch {
    return null;
  }
};

function answerStream(request) {
  const event = "id: 1\ndata: fine\n\n";
  request.socket.write(
    `HTTP/1.1 200 OK\r\n${sealOf(request)}Content-Type: text/event-stream\r\n` +
      `Content-Length: ${event.length}\r\n\r\n${event}`,
  );
}

async function answerTicket(request) {
  await sleep(WORK_MS);
  request.socket.write(
    `HTTP/1.1 200 OK\r\n${sealOf(request)}Content-Length: 4\r\n\r\nfine`,
  );
}

await run(import.meta.url, async (deployment) => {
  await deployment.start(
    configurationOf([
      { name: "house-rules", pathPrefix: "/rules/" },
      {
        ...{ name: "repair-ticket", pathPrefix: "/ticket/" },
        ...{ kind: "non_idempotent", service: "desk-app" },
      },
    ]),
  );
  const quiet = { isQuiet: true };
  for (let number = 1; number <= ENGINES; number += 1) {
    const id = `i-${number}`;
    const replica = await deployment.addReplica(id, answerStream, {}, quiet);
    await deployment.startAdmission(replica);
  }
  const entry = { service: "desk-app", slots: 32 };
  const desk = await deployment.addReplica("i-7", answerTicket, entry);
  const router = await deployment.startRouter();
  await sleep(4_000);

  const endsAtMs = performance.now() + ENDS_AFTER_MS;
  let isOver = false;
  let lost = 0;
  const ordinary = Array.from({ length: ORDINARY }, async (_, at) => {
    const channel = new Channel(router);
    for (let number = 1; !isOver && channel.state === "open"; number += 1) {
      const id = `ticket-${at + 1}-${number}`;
      const answer = await channel.request(headOf({ path: "/ticket/x", id }));
      const ran = desk.runs.some((one) => one.id === id);
      const isUnanswered = answer.status === 0;
      record(
        `consumer of ${id} has ${answer.status || "no answer"}, ` +
          `channel ${answer.channel}, passed on: ${ran}`,
      );
      // The first request of a channel isn't one of a kept channel.
      if (isUnanswered && ran && number > 1) lost += 1;
    }
    channel.close();
  });
  let sent = 0;
  const statuses = {};
  const odd = Array.from({ length: CHANNELS }, async () => {
    let channel = new Channel(router);
    while (
      sent < REQUESTS &&
      router.exit === null &&
      performance.now() < endsAtMs
    ) {
      const startedAtMs = performance.now();
      sent += 1;
      const number = sent;
      const parts = Array.from({ length: PARTS }, (_, at) => {
        const id = (number * PARTS + at + 0x100000).toString(16);
        return `${id}:${PROMPT_TOKENS / PARTS}`;
      });
      const more =
        `X-Model: m\r\nX-Token-Count: ${PROMPT_TOKENS},10\r\n` +
        `X-Prefix-Hash: ${parts.join(",")}\r\n`;
      const head = headOf({ path: "/rules/x", id: `rules-${number}`, more });
      if (number === 1)
        record(`heads of ${head.length} bytes, ${PARTS} parts each`);
      const { status, complete, channel: state } = await channel.request(head);
      statuses[status] = (statuses[status] ?? 0) + 1;
      if (!complete || state !== "open") {
        channel.close();
        channel = new Channel(router);
      }
      if (number % 100 === 0)
        record(
          `${number} sent, answered ${JSON.stringify(statuses)}; router ${residentMb(router)} MB`,
        );
      await sleep(Math.max(0, startedAtMs + INTERVAL_MS - performance.now()));
    }
    channel.close();
  });
  await Promise.all(odd);
  await sleep(300);
  isOver = true;
  await Promise.all(ordinary);
  record(`sent ${sent}, answered ${JSON.stringify(statuses)}`);
  if (router.exit === null) return null;
  record(`the router has ended by itself: ${JSON.stringify(router.exit)}`);
  for (const line of router.stderr
    .split("\n")
    .filter((one) => /FATAL|heap/.test(one)))
    record(`its standard error: ${line}`);
  return (
    `the router ended by itself after ${sent} requests; ${lost} requests of kept ` +
    "channels were passed on and got no answer"
  );
});
