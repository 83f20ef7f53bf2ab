import { answer, Channel, configuration, head, route, run, sleep, TROUBLE } from "../harness-2.mjs";

const CALLERS = 8;
/** Requests at the server in trouble; its entry and the engine have 64 slots. */
const STREAMS = Number(process.env.STREAMS ?? 16);
/** What the server in trouble writes at a time. */
const PIECE = "x".repeat(Number(process.env.PIECE ?? 4));

await run(import.meta.dirname ?? new URL(".", import.meta.url).pathname, async (fleet, log) => {
  await fleet.start(configuration({
    routes: [
      route({ name: "post", pathPrefix: "/post/", service: "app" }),
      route({ name: "reply", pathPrefix: "/reply/", kind: "streaming", streamResume: true, gapTargetMs: 800, service: "model" }),
    ],
    services: [
      { name: "app", maxConns: 96, healthPath: "/health" },
      { name: "model", maxConns: 360, healthPath: "/health", engine: { slots: 64, kvCapacity: 500000 } },
    ],
  }));
  // The sound server works on each second request of a channel for 12 s.
  const app = await fleet.backend("i-app", (request) => {
    const workMs = request.path === "/post/long" ? 5000 : 20;
    setTimeout(() => answer(request), workMs);
  }, { service: "app" });
  // The server in trouble sends a body that holds no event, without end, until
  // its caller closes: chunks of one byte.
  let sentBytes = 0;
  const model = await fleet.backend("i-model", (request) => {
    const { socket } = request;
    socket.write(`${head(request)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
    if (!TROUBLE) {
      socket.write("d\r\nid: 1\ndata: a\r\n2\r\n\n\n\r\n0\r\n\r\n");
      return;
    }
    const piece = Buffer.from(`${PIECE.length.toString(16)}\r\n${PIECE}\r\n`.repeat(1000));
    const more = () => {
      while (!socket.destroyed) {
        sentBytes += 1000 * PIECE.length;
        if (!socket.write(piece)) { socket.once("drain", more); return; }
      }
    };
    more();
  }, { service: "model" });
  await fleet.admission(model, "model");
  const router = await fleet.router();
  log(`router ready, ${router.rssMb()} MB`);
  await sleep(4000);
  const channels = Array.from({ length: CALLERS }, () => new Channel(router));
  for (const channel of channels) {
    const first = await channel.send({ path: "/post/short" });
    log(`sent ${first.id} on a new channel: ${first.status} ${first.end}`);
    if (first.status !== 200) throw new Error("The first request of a channel failed");
  }
  const long = channels.map((channel) => channel.send({ path: "/post/long" }));
  await sleep(500);
  log(`at the sound server: ${app.requests.filter((r) => r.path === "/post/long").length} requests of kept channels`);
  const streaming = Array.from({ length: STREAMS }, () => new Channel(router).send({
    path: "/reply/x", deadlineMs: 8000, headers: { "X-Model": "m", "X-Token-Count": "1460,80", "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250" },
  }));
  const timer = setInterval(() => log(`router ${router.rssMb()} MB, body bytes sent by the server in trouble: ${sentBytes}`), 500);
  const results = await Promise.all(long);
  const streams = await Promise.all(streaming);
  clearInterval(timer);
  for (const s of streams) log(`sent ${s.id} to the server in trouble: ${s.status} ${s.end}, ${s.at - s.sentAt} ms`);
  for (const r of results) {
    const ran = app.requests.filter((one) => one.id === r.id).length;
    log(`sent ${r.id} on a kept channel, passed on ${ran} times: ${r.status} ${r.end}, ${r.at - r.sentAt} ms`);
  }
  await sleep(1000);
  log(`router process: ${router.exit === null ? "runs" : "ended"}`);
  if (router.exit !== null) log(`router ended by itself: ${JSON.stringify(router.exit)}; ${router.stderr.split("\n").find((l) => l.includes("FATAL")) ?? ""}`);
  const lost = results.filter((r) => !(r.end === "complete") && app.requests.some((one) => one.id === r.id)).length;
  log(`the application ran ${app.requests.length} requests, the server in trouble got ${model.requests.length}`);
  log(`passed on and closed without an answer: ${lost} of ${CALLERS}; allowed: 3`);
  return lost > 3;
});
