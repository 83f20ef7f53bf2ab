/** A configuration raises the limit of bodies; consumers go on as before. */

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

const MIB = 2 ** 20;
const LIMIT_BYTES = 4 * MIB;
/** The new limit: 5 GiB, or without the disruption 8 MiB. */
const RAISED_LIMIT_BYTES = TROUBLE ? 5 * 1_024 * MIB : 8 * MIB;
/** Consumers of tickets on kept channels, and how long each request takes. */
const ORDINARY = 8;
const WORK_MS = 700;
/** One more consumer sends bodies of 100 KB; the first limit allows 4 MiB. */
const BODY_BYTES = 100_000;
const BODY_INTERVAL_MS = 1_000;
const CALM_MS = 4_000;
const LASTS_MS = 8_000;
/** The platform starts a process that has ended again. */
const RESTART_AFTER_MS = 300;

async function answer(request) {
  if (request.path.startsWith("/ticket/")) await sleep(WORK_MS);
  request.socket.write(
    `HTTP/1.1 200 OK\r\n${sealOf(request)}Content-Length: 4\r\n\r\nfine`,
  );
}

const configurationWith = (version, maxBodyBytes) => {
  const route = { kind: "non_idempotent", service: "desk-app" };
  const configuration = configurationOf(
    [
      { ...route, name: "repair-ticket", pathPrefix: "/ticket/" },
      { ...route, name: "photo", pathPrefix: "/photo/" },
    ],
    { version },
  );
  configuration.limits.maxBodyBytes = maxBodyBytes;
  return configuration;
};

await run(import.meta.url, async (deployment) => {
  await deployment.start(configurationWith(1, LIMIT_BYTES));
  const entry = { service: "desk-app", slots: 32 };
  const desk = await deployment.addReplica("i-1", answer, entry);
  let router = await deployment.startRouter();
  let isUp = true;
  let isOver = false;
  let ends = 0;
  const supervise = (program) =>
    program.child.once("exit", async (code, signal) => {
      if (isOver) return;
      isUp = false;
      ends += 1;
      const [cause = ""] = /^\w*Error.*$/m.exec(program.stderr) ?? [];
      record(`the router has ended by itself: ${code ?? signal}, ${cause}`);
      await sleep(RESTART_AFTER_MS);
      if (isOver) return;
      router = await deployment.respawn(program).catch(() => program);
      supervise(router);
      isUp = router.exit === null;
      record("the platform has started the router again");
    });
  supervise(router);

  const startedAtMs = performance.now();
  const isLasting = () =>
    performance.now() < startedAtMs + CALM_MS + LASTS_MS && !isOver;
  let lost = 0;
  const consume = async (name, { path, body, intervalMs }) => {
    let number = 0;
    while (isLasting()) {
      if (!isUp) {
        await sleep(20);
        continue;
      }
      const channel = new Channel(router);
      for (let kept = 0; isLasting() && channel.state === "open"; kept += 1) {
        number += 1;
        const id = `${name}-${number}`;
        const { status, channel: state } = await channel.request(
          headOf({ path, id }),
          body,
        );
        const ran = desk.runs.some((one) => one.id === id);
        record(
          `consumer of ${id} has ${status || "no answer"}, channel ${state}, ` +
            `passed on: ${ran}`,
        );
        if (status === 0 && ran && kept > 0) lost += 1;
        await sleep(intervalMs);
      }
      channel.close();
    }
  };
  const consumers = Array.from({ length: ORDINARY }, (_, at) =>
    consume(`ticket-${at + 1}`, { path: "/ticket/x", body: "", intervalMs: 0 }),
  );
  const body = "x".repeat(BODY_BYTES);
  const intervalMs = BODY_INTERVAL_MS;
  consumers.push(consume("photo", { path: "/photo/x", body, intervalMs }));
  await sleep(CALM_MS);
  record(`the operator sends version 2, maxBodyBytes ${RAISED_LIMIT_BYTES}`);
  deployment.configure(configurationWith(2, RAISED_LIMIT_BYTES));
  await Promise.all(consumers);
  isOver = true;
  record(
    `the router ended ${ends} times by itself; ${lost} requests of kept channels ` +
      "were passed on and got no answer",
  );
  if (lost <= 3) return null;
  return (
    `${lost} requests of kept channels were passed on and got no answer; ` +
    `the router ended ${ends} times by itself`
  );
});
