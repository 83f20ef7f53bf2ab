/** Encodes messages as CBOR maps with integer keys. */

import { Decoder, Encoder } from "cbor-x";
import { err, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import * as protocol from "../protocol/mod.ts";
import { LENGTH_BYTES } from "./frame_decoder.ts";

const options = {
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  keyMap: protocol.fieldNumbers,
};
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/** Returns the frame of a message: the payload's length, then the payload. */
export function encode(message: protocol.Message): Buffer {
  const payload = encoder.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Returns the message in a frame's payload, or all validation errors. */
export function decode(payload: Buffer): Result<protocol.Message, Finding[]> {
  let value: unknown;
  try {
    value = decoder.decode(payload);
  } catch {
    return err([{ path: "", line: null, message: "Payload is not CBOR" }]);
  }
  return protocol.parseMessage(value);
}
