/**
 * Bundles the programs that run on the platform into one file each: loading a
 * few hundred modules takes longer than all else that a program does until it
 * is ready.
 *
 * Usage: node bundle.js FOLDER, which holds the compiled `platform/`; the
 * bundles are written to `bundle/` in it.
 */

import { join } from "node:path";
import { build } from "esbuild";

const PROGRAMS = ["router_main", "admission_main"];
/** CommonJS packages in an ESM bundle look for `require`. */
const REQUIRE =
  'import { createRequire as createBundleRequire } from "node:module";\n' +
  "const require = createBundleRequire(import.meta.url);";

const [folder] = process.argv.slice(2);
if (folder === undefined) throw new Error("Usage: node bundle.js FOLDER");
await build({
  entryPoints: PROGRAMS.map((name) => join(folder, "platform", `${name}.js`)),
  outdir: join(folder, "bundle"),
  banner: { js: REQUIRE },
  ...{ bundle: true, platform: "node", target: "node20", format: "esm" },
  logLevel: "warning",
});
