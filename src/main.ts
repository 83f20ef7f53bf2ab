#!/usr/bin/env node
/** The command `oriolerouter`. */

import { createProgram } from "./cli/mod.ts";

await createProgram().parseAsync();
