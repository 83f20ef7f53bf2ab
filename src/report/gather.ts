/** Gathers a JSON page from the processes of a fleet. */

import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { type Instance, read } from "../platform/mod.ts";

const READ_TIMEOUT_MS = 2_000;

/** How the fleet is reached. */
export interface FleetAccess {
  readonly platformUrl: string;
  readonly operatorKey: string;
}

/** One process and its page; null when it did not answer. */
export interface Gathered {
  readonly instance: Instance;
  readonly page: unknown;
}

/** Asks every listed process that `wanted` holds for, all at once. */
export async function gather(
  { platformUrl, operatorKey }: FleetAccess,
  path: string,
  { wanted }: { readonly wanted: (instance: Instance) => boolean },
): Promise<Result<Gathered[], string>> {
  const instances = await read(platformUrl);
  if (instances.isErr()) {
    return err(`Can't read the instance list: ${instances.error}`);
  }
  const gathered = instances.value.filter(wanted).map(async (instance) => ({
    instance,
    page: await readPage(instance, path, operatorKey),
  }));
  return ok(await Promise.all(gathered));
}

async function readPage(
  { host, adminPort }: Instance,
  path: string,
  operatorKey: string,
): Promise<unknown> {
  try {
    const response = await request(`http://${host}:${adminPort}${path}`, {
      headers: { authorization: `Bearer ${operatorKey}` },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const page = await response.body.json();
    return response.statusCode === 200 ? page : null;
  } catch {
    return null;
  }
}
