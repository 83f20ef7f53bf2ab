#!/usr/bin/env -S node --max-semi-space-size=2
/** Entry point of the command `oriolerouter`. */

import { createProgram } from "./cli/mod.ts";

await createProgram().parseAsync();
