#!/usr/bin/env node
/** The operators' command line. */
import {runCtl} from '../program/program.js';

process.exitCode = await runCtl(process);
