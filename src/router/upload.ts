/** Reads the body of one caller's request. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { ByteBuffer } from "../common/byte_buffer.ts";
import type { HeldBytes } from "../common/held_bytes.ts";
import type { Holding } from "../common/holding.ts";
import { badRequest, type Failure, notRun } from "./failure.ts";

/** Retry-After of bodies for which there was no memory. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;
/**
 * Time and bytes for which the rest of a refused body is read and discarded, so
 * that its caller gets the refusal and can use the connection again.
 */
const DISCARD_TIMEOUT_MS = 5_000;
const DISCARD_LIMIT_BYTES = 4 * 1_024 * 1_024;

/** Limits of one body. */
export interface UploadLimits {
  readonly limitBytes: number;
  /** Who sends it: a team, or the address of a caller without a key. */
  readonly group: string;
}

type Outcome = Result<Buffer, Failure>;

/** The body of a request, from its first byte until it is no longer needed. */
export class Upload {
  readonly #request: IncomingMessage;
  readonly #limitBytes: number;
  readonly #holding: Holding;
  readonly #buffer: ByteBuffer;
  #outcome: Outcome | null = null;
  #settle: ((outcome: Outcome) => void) | null = null;

  /**
   * Starts reading at once: the HTTP parser would queue an object for each chunk
   * until somebody reads.
   */
  constructor(
    request: IncomingMessage,
    held: HeldBytes,
    { limitBytes, group }: UploadLimits,
  ) {
    this.#request = request;
    this.#limitBytes = limitBytes;
    this.#buffer = new ByteBuffer(limitBytes);
    this.#holding = held.open({
      ...{ kind: "upload", group },
      onYield: () => this.#fail(noMemory()),
    });
    if (Number(request.headers["content-length"] ?? 0) > limitBytes)
      this.#fail(tooLong(limitBytes));
    request.on("data", (chunk: Buffer) => this.#add(chunk));
    request.once("end", () => this.#end(ok(this.#buffer.bytes)));
    request.on("error", () => this.#fail(cutOff()));
    request.once("close", () => this.#fail(cutOff()));
  }

  /** Bytes that are kept. */
  get sizeBytes(): number {
    return this.#buffer.sizeBytes;
  }

  /**
   * Returns the body, which is valid until `close`. Fails if it is too long or is
   * cut off, or if the process has no memory for it.
   *
   * @param options limits that are known by now; `group` is who holds it
   */
  async read({ limitBytes, group }: UploadLimits): Promise<Outcome> {
    this.#holding.moveTo(group);
    const outcome =
      this.#outcome ??
      (await new Promise<Outcome>((resolve) => {
        this.#settle = resolve;
      }));
    const isTooLong = outcome.isOk() && outcome.value.length > limitBytes;
    return isTooLong ? err(tooLong(limitBytes)) : outcome;
  }

  /** Frees the body; a rest that its caller still sends is discarded. */
  close(): void {
    this.#fail(cutOff());
    this.#free();
    const { complete, socket } = this.#request;
    if (!complete && !socket.destroyed) discardRest(this.#request);
  }

  #add(chunk: Buffer): void {
    if (this.#outcome !== null) return;
    if (this.#buffer.sizeBytes + chunk.length > this.#limitBytes)
      this.#fail(tooLong(this.#limitBytes));
    else if (!this.#holding.grow(this.#buffer.capacityFor(chunk.length)))
      this.#fail(noMemory());
    else if (!this.#buffer.append(chunk)) this.#fail(noMemory());
    else this.#holding.advance(chunk.length);
  }

  #end(outcome: Outcome): void {
    if (this.#outcome !== null) return;
    this.#outcome = outcome;
    // A whole body is being served, which must not be broken off.
    this.#holding.mayYield = false;
    this.#settle?.(outcome);
  }

  #fail(failure: Failure): void {
    if (this.#outcome !== null) return;
    this.#free();
    this.#end(err(failure));
  }

  #free(): void {
    this.#holding.close();
    this.#buffer.free();
  }
}

/** Reads on without keeping anything, but not for long. */
function discardRest(request: IncomingMessage): void {
  let sizeBytes = 0;
  const stop = () => request.socket.destroy();
  const timer = setTimeout(stop, DISCARD_TIMEOUT_MS);
  request.on("data", (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > DISCARD_LIMIT_BYTES) stop();
  });
  const end = () => clearTimeout(timer);
  request.once("end", end);
  request.once("close", end);
  request.on("error", end);
  request.socket.once("close", end);
}

function tooLong(limitBytes: number): Failure {
  const sentence = `Body is longer than ${limitBytes} bytes`;
  return badRequest(413, "body-too-long", { sentence });
}

function cutOff(): Failure {
  const sentence = "The caller disconnected before its body was complete";
  return badRequest(400, "body-cut-off", { sentence });
}

function noMemory(): Failure {
  const sentence = "There is no memory left for the body of this request";
  const retryAfterMs = NO_MEMORY_RETRY_AFTER_MS;
  return notRun(503, "no-memory", { sentence, retryAfterMs });
}
