/** Gathers a JSON page from the operators' endpoints of a fleet. */

import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { type Instance, readInstances } from "../platform/mod.ts";

const READ_TIMEOUT_MS = 2_000;

/** Where the platform is, and the key of the operators' endpoints. */
export interface FleetAccess {
  readonly platformUrl: string;
  readonly operatorKey: string;
}

/** One process and its page. */
export interface GatheredPage {
  readonly instance: Instance;
  /** Null if the process did not answer with status 200 and JSON. */
  readonly page: unknown;
}

/**
 * Fetches the page at `path` from every listed process for which `filter`
 * holds, concurrently. Returns an error text if the list can't be read.
 */
export async function gatherPages(
  { platformUrl, operatorKey }: FleetAccess,
  path: string,
  { filter }: { readonly filter: (instance: Instance) => boolean },
): Promise<Result<GatheredPage[], string>> {
  const instances = await readInstances(platformUrl);
  if (instances.isErr()) {
    return err(`Can't read the instance list: ${instances.error}`);
  }
  const pages = instances.value.filter(filter).map(async (instance) => ({
    instance,
    page: await fetchPage(instance, path, operatorKey),
  }));
  return ok(await Promise.all(pages));
}

async function fetchPage(
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
