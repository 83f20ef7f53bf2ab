#!/usr/bin/env -S node --max-semi-space-size=2
/** The command `oriolerouter`. */

import { createProgram } from "./cli/mod.ts";

await createProgram().parseAsync();
