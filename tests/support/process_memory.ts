/** What a process holds, as the kernel counts it. */

import { readdir, readFile } from "node:fs/promises";

const BYTES_PER_KIB = 1_024;

/** Largest resident size of a process so far, in bytes. */
export async function peakResidentBytes(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const [, kib] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  if (kib === undefined) throw new Error("The kernel reports no peak size");
  return Number(kib) * BYTES_PER_KIB;
}

/** Bytes that a port's connections have received and that aren't read yet. */
export async function unreadBytes(port: number): Promise<number> {
  const table = await readFile("/proc/net/tcp", "utf8");
  const hexPort = port.toString(16).toUpperCase().padStart(4, "0");
  return table
    .split("\n")
    .map((line) => line.trim().split(/\s+/))
    .filter(([, local]) => local?.endsWith(`:${hexPort}`))
    .map(([, , , , queues]) => Number.parseInt(queues?.split(":")[1] ?? "", 16))
    .reduce((sum, bytes) => sum + bytes, 0);
}

/** Open file descriptors of a process. */
export async function openDescriptors(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length;
}
