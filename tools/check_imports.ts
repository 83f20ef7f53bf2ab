/** Checks that each folder imports only what imports.json allows it. */

import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";

type Rules = Readonly<Record<string, readonly string[]>>;

const IMPORT = /(?:\bfrom\s+|\bimport\s+|import\()"([^"]+)"/g;
const rules = JSON.parse(readFileSync("imports.json", "utf8")) as Rules;
const folders = Object.keys(rules).sort((a, b) => b.length - a.length);
const violations = [...new Set(folders.map((folder) => folder.split("/")[0]))]
  .flatMap((root) =>
    readdirSync(root ?? "", { recursive: true })
      .map(String)
      .filter((file) => file.endsWith(".ts"))
      .map((file) => join(root ?? "", file)),
  )
  .flatMap(check);

for (const violation of violations) console.error(violation);
if (violations.length > 0) process.exitCode = 1;
else console.log("Imports between folders are as imports.json allows");

function check(file: string): string[] {
  const ownFolder = folderOf(file);
  if (ownFolder === null) return [`${file}: folder is not in imports.json`];
  const allowed = rules[ownFolder] ?? [];
  const text = readFileSync(file, "utf8");
  return [...text.matchAll(IMPORT)]
    .map(([, name = ""]) => targetOf(file, name))
    .filter(
      (target) => target !== null && !isAllowed(target, ownFolder, allowed),
    )
    .map((target) => `${file}: ${ownFolder} must not import ${target}`);
}

/** Returns the imported folder or package; null for a Node.js module. */
function targetOf(file: string, name: string): string | null {
  if (name.startsWith("node:")) return null;
  if (!name.startsWith(".")) return packageOf(name);
  const path = normalize(join(dirname(file), name));
  return folderOf(path) ?? path;
}

function packageOf(name: string): string {
  const parts = name.split("/");
  return parts.slice(0, name.startsWith("@") ? 2 : 1).join("/");
}

function folderOf(file: string): string | null {
  return folders.find((folder) => file.startsWith(`${folder}/`)) ?? null;
}

function isAllowed(
  target: string,
  own: string,
  allowed: readonly string[],
): boolean {
  if (target === own) return true;
  return allowed.some((one) => target === one || target.startsWith(`${one}/`));
}
